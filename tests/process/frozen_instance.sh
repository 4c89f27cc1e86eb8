#!/usr/bin/env bash
# An instance is frozen while a zone is taken out; when it wakes it gives out no work there.
. "$(dirname "$0")/common.sh"
run "$bin/platform_stand_in" 127.0.0.1:23000
for shard in 0 1; do
    run "$bin/target_stand_in" --address "127.0.0.1:$((23100 + shard))" --serve "1/2/$shard"
    run "$bin/target_stand_in" --address "127.0.0.1:$((23110 + shard))" --serve "1/2/$shard"
done
cat >"$work/operators.json" <<'JSON'
{"availability_zones": [{"name": "a"}, {"name": "b"}, {"name": "c"}],
 "services": [{"name": "s", "workspace": "w", "version": "v1", "connections_per_replica": 25,
  "warmup_ms": 1, "versions": [{"name": "v1", "targets": [
   {"address": "127.0.0.1:23100", "availability_zone": "a"},
   {"address": "127.0.0.1:23101", "availability_zone": "a"},
   {"address": "127.0.0.1:23110", "availability_zone": "b"},
   {"address": "127.0.0.1:23111", "availability_zone": "b"}]}]}]}
JSON
for entry in "one 1 a" "two 2 c" "three 3 b"; do
    read -r name byte zone <<<"$entry"
    entry_settings "$name" "$byte" "$zone" 300
    run "$bin/knapweedchuted" --quiet --settings "$work/$name.json"
done
frozen=${pids[-1]}
three_known() { [ "$("$bin/knapweedctl" status --admin 127.0.0.1:23011 | wc -l)" = 3 ]; }
until_true 20 "three members" three_known
"$bin/knapweedctl" apply "$work/operators.json" --base 0 --platform 127.0.0.1:23000 --admin 127.0.0.1:23011
whole() { "$bin/knapweedctl" query s "slope closed" --caller "127.0.0.$1:23010" | grep -q "2 of 2"; }
for byte in 1 2 3; do until_true 20 "entry $byte answers whole" whole $byte; done
parts() { # parts served by the targets of zone b
    local port sum=0
    for port in 23110 23111; do
        sum=$((sum + $(curl -s "http://127.0.0.1:$port/v1/status" | sed 's/.*"parts_served":\([0-9]*\).*/\1/')))
    done
    echo "$sum"
}
[ "$(parts)" -gt 0 ] || fail "the zone's targets were used before"

kill -STOP "$frozen"
"$bin/knapweedctl" zone out b --platform 127.0.0.1:23000 --admin 127.0.0.1:23011 127.0.0.2:23011 --wait-ms 500 || [ $? = 6 ]
sleep 3 # longer than a proof of freshness lasts
before=$(parts)
kill -CONT "$frozen"
for _ in $(seq 30); do
    curl -s -m 2 -d '{"request_id":"r","service":"s","text":"slope","deadline_ms":500}' \
        http://127.0.0.3:23010/v1/query >>"$work/answers" || true
    echo >>"$work/answers"
done
[ "$(parts)" = "$before" ] || fail "new work in the zone after waking: $before, then $(parts)"
until_true 20 "the woken instance answers whole again" whole 3
[ "$(parts)" = "$before" ] || fail "new work in the zone later"
grep -c not_fresh "$work/answers" | sed 's/^/refused as not fresh after waking: /' || true
echo passed
