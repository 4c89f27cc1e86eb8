-- A long outage of the platform does not stop the service; changes are refused truthfully.
local all = standard_start()

start_load(all)
platform("outage", true)
local version, failure = apply(1)
expect(version == nil and failure == "store_unavailable", "not accepted, and said so")
pause(4000) -- longer than a proof of freshness lasts
ready(all)
local seen = stop_load()
expect(seen.refused == 0 and seen.cut == 0 and seen.violations == 0, "no request refused or cut")
platform("outage", false)
expect(apply(1) == 2, "accepted after the outage")
in_force_at(all, 2, 5000)
