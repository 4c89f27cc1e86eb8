-- Every instance is replaced, one after the other, under load, and no request is cut.
local all = standard_start()

start_load(all)
for index, old in ipairs({"e1", "e2", "e3"}) do
    local new = "n" .. index
    entry(new, "new" .. index)
    wait_until(new .. " is given to callers", function()
        for _, item in ipairs(addresses(new).addresses) do
            if item.availability_zone == "new" .. index then return true end
        end
    end, 20000)
    stop(old)
end
local seen = stop_load()
expect(seen.whole > 100, "requests were served")
expect(seen.cut == 0, "no request cut by a stop")
expect(seen.unreachable == 0, "every address answer held as long as it was valid")
expect(seen.refused == 0, "no request refused")
expect(seen.violations == 0, "every answer true")
wait_until("n1 knows that the old ones left", function() return members("n1") == 3 end, 10000)
