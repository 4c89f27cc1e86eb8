-- An instance cut from the platform and from most peers gives out no new work.
local all = standard_start()

platform("outage", true)
cut("e3", "e1", true)
cut("e3", "e2", true)
wait_until("e3 refuses", function()
    local answer = query("e3")
    return answer.refusal == "not_fresh" and answer.outcome == "not_run"
end, 20000)
expect(whole("e1") and whole("e2"), "the others go on")
