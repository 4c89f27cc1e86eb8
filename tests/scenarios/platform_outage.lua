-- A long outage of the platform does not stop the service; changes are refused truthfully.
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
platform("outage", true)
local version, failure = apply(1)
expect(version == nil and failure == "store_unavailable", "not accepted, and said so")
pause(4000) -- longer than a proof of freshness lasts
ready(all)
local seen = stop_load()
expect(seen.refused == 0 and seen.cut == 0 and seen.violations == 0, "no request refused or cut")
platform("outage", false)
expect(apply(1) == 2, "accepted after the outage")
in_force_at(all, 2, 5000)
