-- A target that stops answering is worked round within the deadline.
local all = standard_start()

target_is(0, "latency_ms", 60000 // 60)
local slow = 0
for _ = 1, 30 do
    local answer = query("e1", 500)
    if answer.status ~= 200 or answer.coverage.answered ~= 2 then slow = slow + 1 end
end
expect(slow <= 3, "at most three searches lost their shard, seen " .. slow)
