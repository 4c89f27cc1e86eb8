-- At the set time without enough evidence a move is taken back and says so.
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

stop_load()
move("v2", 3)
expect(apply(1) == 2, "accepted")
wait_until("a final report", function() return #reports() == 1 end, 20000)
expect(reports()[1].result == "taken_back", "taken back")
expect(reports()[1].fault == "too_little_evidence", "with its reason")
expect(query("e1").version == "v1", "the old version serves")
