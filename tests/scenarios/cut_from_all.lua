-- An instance cut from the platform and from most peers gives out no new work.
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

platform("outage", true)
cut("e3", "e1", true)
cut("e3", "e2", true)
wait_until("e3 refuses", function()
    local answer = query("e3")
    return answer.refusal == "not_fresh" and answer.outcome == "not_run"
end, 20000)
expect(whole("e1") and whole("e2"), "the others go on")
