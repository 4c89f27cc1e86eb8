-- Truncated, crossed and failed answers never count, and coverage says so.
local all = standard_start()

for _, behaviour in ipairs({"truncating", "crossing", "failing"}) do
    target_is(0, behaviour, true)
    for _ = 1, 20 do
        local answer = query("e1")
        expect(answer.status == 200, behaviour .. ": answered")
        expect(answer.coverage.answered + #answer.missing == 2, behaviour .. ": coverage adds up")
    end
    target_is(1, behaviour, true)
    local answer = query("e1")
    expect(answer.status == 200, behaviour .. ": the other shard still answers")
    expect(answer.coverage.answered == 1 and answer.missing[1] == 0, behaviour .. ": shard 0 is missing")
    target_is(0, behaviour, false)
    target_is(1, behaviour, false)
    wait_until("whole again", function() return whole("e1") end, 15000)
end
