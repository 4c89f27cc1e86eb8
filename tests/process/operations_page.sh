#!/usr/bin/env bash
# docs/OPERATIONS.md names every line and metric of the entry daemon, and none that is not there;
# a reader of standard output that stops reading costs lines and no request; explain finds a cause.
. "$(dirname "$0")/common.sh"
root=$(cd "$(dirname "$0")/../.." && pwd)
page=$root/docs/OPERATIONS.md
lines_of() { # FILE: "part: Sentence." for each line that the file writes
    local part
    part=$(grep -oE 'logger\{"[a-z]+"\}' "$1" | head -1 | cut -d'"' -f2)
    tr '\n' ' ' <"$1" | grep -oE '(log_line|logger\{"entry"\})\.(info|warning|failure)\( *"[^"]+"' |
        cut -d'"' -f2- | sed -E 's/^entry"\}\.(info|warning|failure)\( *"//; s/"$//' |
        while read -r sentence; do echo "$part: $sentence"; done
}
for file in "$root"/src/{entry,relay,feed,net,target,rollout,usage}/*.cpp "$root"/platform/*.cpp \
    "$root"/daemons/knapweedchute_entryd.cpp; do
    if grep -q 'logger{"' "$file"; then lines_of "$file"; fi
done | sort -u >"$work/written"
echo "log: Lines lost." >>"$work/written"
[ "$(wc -l <"$work/written")" -ge 20 ] || fail "lines of the code are not found"
while read -r line; do grep -qF "\`$line\`" "$page" || fail "not on the page: $line"; done <"$work/written"
grep -oE '^\| `[a-z]+: [^`]+`' "$page" | cut -d'`' -f2 >"$work/told"
while read -r line; do grep -qxF "$line" "$work/written" || fail "not in the code: $line"; done <"$work/told"

relay_settings 23201
mkfifo "$work/output"
exec 9<>"$work/output" # held open and never read
"$bin/knapweedchute-entryd" --settings "$work/entry.json" >&9 2>&1 &
pids+=($!)
page_at() { curl -s -m 2 "http://127.0.0.1:$1"; }
up() { page_at 23204/state | grep -q i1; }
until_true 10 "the daemon is up" up
page_at 23205/metrics | grep -oE '^# TYPE knapweedchute_[a-z_]+' | sed 's/.*knapweedchute_//' |
    sort -u >"$work/metrics"
while read -r name; do grep -qF "\`$name\`" "$page" || other+=" $name"; done <"$work/metrics"
known_elsewhere=' answers_rejected_total bad_requests_total configurations_adopted_total configurations_refused_total datagram_bytes_received_total datagram_bytes_sent_total datagrams_received_total datagrams_refused_total datagrams_sent_total peer_fetches_total platform_calls_total platform_failures_total queries_restarted_total runs_refused_total runs_sent_total targets_ejected_total'
[ "${other:-}" = "$known_elsewhere" ] || fail "metrics that are not on the page:${other:-}"
sed -n '/^## Metrics/,$p' "$page" | grep -oE '^\| `[a-z_]+`' | cut -d'`' -f2 | while read -r name; do
    grep -qx "$name" "$work/metrics" || fail "no such metric: $name"
done

# A pipe holds 64 KiB: the store that is away makes lines until it is full, and nothing waits.
fill() { # every SIGHUP writes a line
    for _ in $(seq 40); do kill -HUP "${pids[-1]}"; page_at 23204/state >/dev/null || return 1; done
    page_at 23204/metrics | grep -E '^knapweedchute_log_lines_lost [1-9]'
}
until_true 60 "lines are lost and counted" fill
[ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' http://127.0.0.1:23201/x)" = 503 ] ||
    fail "a blocked log holds requests up"

cat >"$work/sample" <<'LOG'
2026-01-01T00:00:01.000 level=INFO store: Zone taken out. zone=a
2026-01-01T00:00:02.000 level=INFO relay: Request ended. request=r7 why=failed route=w status=503 ms=0 allowed_ms=100 version=3 answered=0/1
2026-01-01T00:00:02.000 level=INFO relay: Part in trouble. request=r7 service=s answered=false steps=0:no_target:cost0.0:of0
2026-01-01T00:00:03.000 level=INFO store: Zone is back. zone=a
LOG
told=$("$bin/knapweedctl" explain r7 "$work/sample")
grep -q 'after 0 no_target cost0.0 of0' <<<"$told" || fail "steps are not told: $told"
grep -q 'Zone taken out' <<<"$told" || fail "the cause is not told: $told"
! grep -q 'Zone is back' <<<"$told" || fail "what came later is told: $told"
told=$("$bin/knapweedctl" --json explain r7 <"$work/sample")
grep -q '"zone": "a"' <<<"$told" || fail "no JSON"
code=0; "$bin/knapweedctl" explain r8 "$work/sample" 2>/dev/null || code=$?
[ "$code" = 7 ] || fail "an unknown request ends with $code"
echo passed
