#!/usr/bin/env bash
# The experiment tool names the key of a bad file, and plays a small good one.
. "$(dirname "$0")/common.sh"
told() { # TEXT...: what the tool says of a file with these lines
    printf '%s\n' "$@" >"$work/experiment.toml"
    "$bin/knapweedchute-experiment" "$work/experiment.toml" 2>&1 && fail "accepted: $*"
    return 0
}
kind='[[kinds]]
name = "digest"'
grep -q 'line 1' <<<"$(told 'name =')" || fail "the line of a syntax error is not named"
grep -q 'kinds' <<<"$(told 'name = "x"')" || fail "missing kinds are not named"
grep -q 'unknown key fleet.shard' <<<"$(told '[fleet]' 'shard = 3' "$kind")" || fail "unknown key"
grep -q 'fleet.instances' <<<"$(told '[fleet]' 'instances = 0' "$kind")" || fail "value out of range"
grep -q 'fleet.target.pause_every_ms' <<<"$(told '[fleet.target]' 'pause_ms = 2000' "$kind")" ||
    fail "values that contradict each other"
grep -q 'policies' <<<"$(told 'policies = ["best"]' "$kind")" || fail "unknown policy"
printf '%s\n' 'name = "small"' 'seeds = [1]' 'loads = [0.5]' 'measured_ms = 500' 'warm_up_ms = 100' \
    '[fleet]' 'shards = 3' 'instances = 2' "$kind" >"$work/experiment.toml"
table=$("$bin/knapweedchute-experiment" --plot-script "$work/plot" "$work/experiment.toml")
[ "$(grep -cE '^(admission|no_admission|plain) ' <<<"$table")" = 3 ] || fail "a row is missing: $table"
gnuplot -e "set output '/dev/null'" "$work/plot" || fail "the plot script is not accepted"
rm -f experiment.svg
echo passed
