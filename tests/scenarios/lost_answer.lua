-- An answer lost after the write took effect is settled; an old answer of the store reverts nothing.
local all = standard_start()

platform("lose_answers", 1)
expect(apply(1) == 2, "accepted although the answer was lost")
in_force_at(all, 2, 5000)
platform("answer_old", 50)
pause(1500)
for _, name in ipairs(all) do expect(in_force(name) == 2, "no way back") end
local version, failure = apply(1)
expect(version == nil and failure == "conflict", "a file made against an old base is a conflict")
