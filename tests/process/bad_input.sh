#!/usr/bin/env bash
# Bad input gets a typed refusal and a counter, and the process goes on.
. "$(dirname "$0")/common.sh"
run "$bin/platform_stand_in" 127.0.0.1:23000
entry_settings one 1 a 300
echo '{"availability_zones": [{"name": "a"}], "services": []}' >"$work/operators.json"
run "$bin/knapweedchuted" --quiet --settings "$work/one.json"
daemon=${pids[-1]}
until_true 10 "answers" curl -s -m 1 http://127.0.0.1:23010/v1/addresses
"$bin/knapweedctl" apply "$work/operators.json" --base 0 --platform 127.0.0.1:23000 --admin 127.0.0.1:23011
refused() { # REFUSAL CURL-ARGUMENTS...
    local expected=$1 answer
    shift
    answer=$(curl -s -m 3 "$@" http://127.0.0.1:23010/v1/query)
    case "$answer" in *"\"outcome\":\"not_run\""*"\"refusal\":\"$expected\""*) ;; *) fail "$expected expected, got $answer" ;; esac
}
head -c 70000 /dev/zero | tr '\0' 'x' >"$work/large"
refused too_large --data-binary @"$work/large"
refused too_large -H "X-Long: $(head -c 9000 "$work/large")" -d '{}'
refused malformed -d '{"request_id":'
refused invalid_value -d '{"service":"s"}'
refused invalid_value -d '{"request_id":"r","service":"s","deadline_ms":0}'
refused invalid_value -d '{"request_id":"r","service":"s","deadline_ms":-5}'
refused unknown_key -d '{"request_id":"r","service":"s","colour":1}'
refused unknown_service -d '{"request_id":"r","service":"s"}'
for _ in $(seq 20); do head -c 200 /dev/urandom >/dev/udp/127.0.0.1/23012; done
counted() { curl -s http://127.0.0.1:23011/metrics | grep -q "datagrams_refused_total 20"; }
until_true 5 "20 datagrams refused" counted
curl -s -m 2 -X POST -d '{}' http://127.0.0.1:23011/v1/configuration | grep -q not_permitted || fail "a change without the operator key"
kill -0 "$daemon" || fail "the daemon ended"
echo passed
