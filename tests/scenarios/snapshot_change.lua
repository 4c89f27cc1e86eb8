-- Snapshots change and are repartitioned under load; every answer is of one.
local all = standard_start()

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
