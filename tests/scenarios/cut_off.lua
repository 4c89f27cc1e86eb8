-- An instance cut from its peers still follows the store; a healed cut joins again.
local all = standard_start()

cut("e3", "e1", true)
cut("e3", "e2", true)
expect(apply(1) == 2, "accepted")
in_force_at(all, 2, 5000)
wait_until("e1 misses e3", function() return members("e1") == 2 end, 20000)
cut("e3", "e1", false)
cut("e3", "e2", false)
wait_until("all joined again", function()
    return members("e1") == 3 and members("e2") == 3 and members("e3") == 3
end, 30000)
