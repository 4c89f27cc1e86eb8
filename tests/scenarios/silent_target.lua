-- A target that stops answering is worked round within the deadline.
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

target_is(0, "latency_ms", 60000 // 60)
local slow = 0
for _ = 1, 30 do
    local answer = query("e1", 500)
    if answer.status ~= 200 or answer.coverage.answered ~= 2 then slow = slow + 1 end
end
expect(slow <= 3, "at most three searches lost their shard, seen " .. slow)
