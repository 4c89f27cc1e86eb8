-- Every instance is replaced under load and no request is cut.
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

start_load({"e1", "e2"})
entry("e4", "a")
ready({"e4"})
stop("e1")
local seen = stop_load()
expect(seen.cut == 0, "no request cut by the stop")
expect(seen.refused == 0, "no request refused")
expect(seen.violations == 0, "every answer true")
wait_until("e2 knows that e1 left", function() return members("e2") == 3 end, 10000)
