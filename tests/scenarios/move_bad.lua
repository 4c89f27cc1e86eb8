-- A version that fails fast is stopped at once, also with the platform down, and reported once.
local all = standard_start("v2")
start_load(all)

for index = 4, 7 do target_is(index, "failing", true) end
move("v2", 100)
expect(apply(1) == 2, "accepted")
in_force_at(all, 2)
platform("outage", true)
local function only_old()
    for _ = 1, 20 do
        for _, name in ipairs(all) do
            local answer = query(name)
            if answer.status ~= 200 or answer.version ~= "v1" then return false end
        end
    end
    return true
end
wait_until("no traffic on v2 before anything is stored", only_old, 15000)
expect(#reports() == 0, "nothing could be stored yet")
platform("outage", false)
wait_until("a final report", function() return #reports() == 1 end, 20000)
expect(reports()[1].result == "taken_back", "taken back")
expect(reports()[1].fault == "incomplete", "with its reason")
expect(only_old(), "the verdict stays")
expect(#reports() == 1, "exactly one report")
stop_load()
