-- At the set time without enough evidence a move is taken back and says so.
local all = standard_start("v2")
start_load(all)

stop_load()
move("v2", 3)
expect(apply(1) == 2, "accepted")
wait_until("a final report", function() return #reports() == 1 end, 20000)
expect(reports()[1].result == "taken_back", "taken back")
expect(reports()[1].fault == "too_little_evidence", "with its reason")
expect(query("e1").version == "v1", "the old version serves")
