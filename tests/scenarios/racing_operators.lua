-- Five operators race; one change is accepted per base and all instances agree.
local all = standard_start()

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
