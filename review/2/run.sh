#!/usr/bin/env bash
# One of eight leafs runs requests that must not run twice and answers some of them with a failure
# of its own, 503 without Not-Executed. TROUBLE=0: that leaf is sound.
. "$(dirname "$0")/../stand_ins/common.sh"
for index in 1 2 3; do
    settings "front-$index" "1$index" "zone-$index"
    start "front-$index"
done
timeout -k 1 100 "$worlds/at_most_once" grey "$net" "${TROUBLE:-1}" "$case_dir/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
