-- Five operators race; one change is accepted per base and all instances agree.
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

local accepted = 0
for round = 1, 5 do
    local base = round
    for operator = 1, 5 do
        zone("c" .. operator, "in")
        if apply(base) then accepted = accepted + 1 end
    end
end
expect(accepted == 5, "one per base")
in_force_at(all, 6, 5000)
