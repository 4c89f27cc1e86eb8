-- An answer lost after the write took effect is settled; an old answer of the store reverts nothing.
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

platform("lose_answers", 1)
expect(apply(1) == 2, "accepted although the answer was lost")
in_force_at(all, 2, 5000)
platform("answer_old", 50)
pause(1500)
for _, name in ipairs(all) do expect(in_force(name) == 2, "no way back") end
local version, failure = apply(1)
expect(version == nil and failure == "conflict", "a file made against an old base is a conflict")
