-- Snapshots change and are repartitioned under load; every answer is of one.
for shard = 0, 1 do
    target{zone = "a", shards = 2, shard = shard}
    target{zone = "b", shards = 2, shard = shard}
end
entry("e1", "a")
entry("e2", "b")
entry("e3", "c")
local all = {"e1", "e2", "e3"}
expect(apply(0) == 1, "the first file is version 1")
in_force_at(all, 1)
ready(all)

start_load(all)
for snapshot = 2, 6 do
    for shard = 0, 1 do
        for replica = 0, 1 do
            target_serves(shard * 2 + replica, snapshot, 2, shard)
            pause(30)
        end
    end
    pause(200)
end
ready(all)
local seen = stop_load()
expect(seen.violations == 0, "no answer mixes snapshots")
expect(seen.cut == 0, "no request without an answer")
expect(seen.whole > 0, "answers came")
