#!/usr/bin/env bash
# A stop during start-up, a graceful stop, and a second signal end the daemon with exit code 0.
. "$(dirname "$0")/common.sh"
run "$bin/platform_stand_in" 127.0.0.1:23000
entry_settings one 1 a 500
entry_settings slow 1 a 60000
answers() { curl -s -m 1 http://127.0.0.1:23010/v1/addresses; }

run "$bin/knapweedchuted" --quiet --settings "$work/one.json"
until_true 10 "answers" answers
kill -TERM "${pids[-1]}"
ends_well "${pids[-1]}" 10 "graceful stop"

run "$bin/knapweedchuted" --quiet --settings "$work/slow.json"
until_true 10 "answers" answers
kill -TERM "${pids[-1]}"
sleep 0.3
kill -0 "${pids[-1]}" || fail "the stop did not wait for callers"
answers | grep -q addresses || fail "it serves while callers may hold its address"
kill -TERM "${pids[-1]}"
ends_well "${pids[-1]}" 10 "second signal"

for delay in 0.02 0.05 0.1; do
    run "$bin/knapweedchuted" --quiet --settings "$work/one.json"
    sleep $delay
    kill -TERM "${pids[-1]}"
    ends_well "${pids[-1]}" 10 "stop $delay s after the start"
done
echo passed
