-- A good version takes over all queries, with one final report.
local all = standard_start("v2")
start_load(all)

move("v2", 100)
expect(apply(1) == 2, "accepted")
wait_until("a final report", function() return #reports() == 1 end, 40000)
local report = reports()[1]
expect(report.result == "finished", "finished, not " .. report.result .. " for " .. report.fault)
wait_until("only v2 answers", function()
    for _ = 1, 20 do
        for _, name in ipairs(all) do
            if query(name).version ~= "v2" then return false end
        end
    end
    return true
end, 5000)
local seen = stop_load()
expect(seen.violations == 0 and seen.cut == 0, "every answer true")
expect(#reports() == 1, "exactly one report")
