-- A good version takes over all queries, with one final report.
for shard = 0, 1 do
    target{zone = "a", shards = 2, shard = shard}
    target{zone = "b", shards = 2, shard = shard}
end
for shard = 0, 1 do
    target{version = "v2", zone = "a", shards = 2, shard = shard}
    target{version = "v2", zone = "b", shards = 2, shard = shard}
end
entry("e1", "a")
entry("e2", "b")
entry("e3", "c")
local all = {"e1", "e2", "e3"}
expect(apply(0) == 1, "the first file is version 1")
in_force_at(all, 1)
ready(all)
start_load(all)

move("v2", 100)
expect(apply(1) == 2, "accepted")
wait_until("a final report", function() return #reports() == 1 end, 40000)
expect(reports()[1].result == "finished", "finished")
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
