#!/usr/bin/env bash
# The entry daemon: bad settings are named, it is not ready without a configuration and says so,
# a stop during an outage of the store ends with exit code 0 within the grace.
. "$(dirname "$0")/common.sh"
settings() { # KEY VALUE: the settings with one key changed
    relay_settings 23101
    [ $# = 0 ] || sed -i "s|\"$1\": [^,}]*|\"$1\": $2|" "$work/entry.json"
}
faults() { "$bin/knapweedchute-entryd" --check-settings --settings "$work/entry.json" 2>&1 || true; }
for bad in 'caller_address "nowhere"' 'extra_ratio 7' 'stop_grace_s "soon"' 'seeds ["x"]' 'memory_limit_mb 1'; do
    settings ${bad%% *} "${bad#* }"
    faults | grep -q "/${bad%% *}" || fail "fault of ${bad%% *} is not named: $(faults)"
done
settings
[ "$(faults)" = "settings are valid" ] || fail "good settings are refused"

run "$bin/knapweedchute-entryd" --settings "$work/entry.json"
status() { curl -s -m 2 -o /dev/null -w '%{http_code}' "$1"; }
up() { [ "$(status http://127.0.0.1:23102/api/ready)" = 503 ]; }
until_true 10 "not ready is said" up
curl -s -m 2 -i http://127.0.0.1:23101/x | grep -qi '^Retry-After' || fail "no time to come back"
[ "$(status http://127.0.0.1:23101/x)" = 503 ] || fail "a request without a configuration"
[ "$(status http://127.0.0.1:23103/api/resolve)" = 503 ] || fail "addresses without any"
curl -s -m 2 http://127.0.0.1:23104/metrics | grep queries_received >/dev/null || fail "no metrics"
curl -s -m 2 http://127.0.0.1:23104/state | grep -q '"instance":"i1"' || fail "no state"

"$bin/knapweedchute-entryd" --settings "$work/entry.json" >"$work/second" 2>&1 && fail "two at one address"
grep -q "127.0.0.1:23101" "$work/second" || fail "the address that is in use is not named"

kill -HUP "${pids[-1]}"
until_true 5 "settings read again" grep -q 'Settings read again. valid=true at_next_start=""' "$work/log"
settings caller_address '"127.0.0.1:23199"'
kill -HUP "${pids[-1]}"
until_true 5 "what waits is named" grep -q "valid=true at_next_start=caller_address" "$work/log"
settings stop_grace_s '"soon"'
kill -HUP "${pids[-1]}"
until_true 5 "bad settings are named" grep -q 'Settings not understood. reason="[^"]*/stop_grace_s' "$work/log"
settings stop_grace_s 2 # without a signal: found by looking
found() { [ "$(grep -c "Settings read again" "$work/log")" -ge 4 ]; }
until_true 15 "changed settings are found" found
kill -TERM "${pids[-1]}"
ends_well "${pids[-1]}" 4 "stop within the grace"
echo passed
