-- A non-idempotent request runs at most once, also when asked again elsewhere or after a lost answer.
local all = standard_start()

local id = issue_id("e1").request_id
local first = run("e1", id)
expect(first.outcome == "ran", "runs")
expect(run("e1", id).outcome == "ran", "the repeated request gets the kept answer")
expect(run("e2", id).outcome == "unknown", "another instance does not run it")
expect(executions(id) == 1, "ran once")
for index = 0, 3 do target_is(index, "losing_run_answers", true) end
local lost = issue_id("e2").request_id
expect(run("e2", lost).outcome == "unknown", "a lost answer is unknown")
expect(run("e2", lost).outcome == "unknown", "and stays so")
expect(executions(lost) == 1, "ran once although the answer was lost")
for index = 0, 3 do target_is(index, "losing_run_answers", false) end
for index = 0, 3 do target_is(index, "leaving", true) end
local refused = issue_id("e1").request_id
expect(run("e1", refused).outcome == "not_run", "all targets leave: not run")
expect(executions(refused) == 0, "and it is true")
local orphan = issue_id("e3").request_id
kill("e3")
expect(run("e1", orphan).outcome == "unknown", "the issuing instance is gone")
expect(executions(orphan) == 0, "nobody else ran it")
expect(run("e1", "made-up").status == 400, "an id that was not issued is refused")
