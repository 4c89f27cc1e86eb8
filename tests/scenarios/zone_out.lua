-- A zone that is taken out gets no new work, also with the accepting writer gone and the platform down.
local all = standard_start()

start_load(all)
zone("b", "out")
expect(apply(1) == 2, "accepted")
push_to("e1")
platform("outage", true)
in_force_at(all, 2, 3000)
pause(300) -- work in progress may end
local before = target_parts(1) + target_parts(3)
for _ = 1, 50 do query("e2") end
expect(target_parts(1) + target_parts(3) == before, "no new work in the zone")
local given = addresses("e1").addresses
for _, item in ipairs(given) do
    expect(item.availability_zone ~= "b", "no address in the zone")
end
local seen = stop_load()
expect(seen.violations == 0 and seen.cut == 0, "every answer true and whole")
expect(seen.partial == 0, "coverage kept while the zone leaves")
