# Helpers of the review's scripts; source it from review/N/run.sh.
# A script has a network of loopback addresses and a temporary folder of its own.
set -uo pipefail
case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
program=$root/target/bin/knapweedchute-entryd
worlds=$root/review/bin
work=$(mktemp -d)
net=127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250))
pids=()
finish() {
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do kill -KILL "$pid"; done 2>/dev/null
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
# Settings of one entry daemon, as platform/settings.json.in makes them of a small site's fields:
# NAME LAST_BYTE ZONE [STORE]
settings() {
    cat >"$work/$1.json" <<JSON
{"instance": "$1", "availability_zone": "$3", "caller_address": "$net.$2:8104",
 "readiness_address": "$net.$2:8108", "directory_address": "$net.$2:8100",
 "admin_address": "$net.$2:8106", "peer_address": "$net.$2:7380",
 "seeds": ["$net.11:8106", "$net.12:8106", "$net.13:8106"],
 "processor_share": 0.25, "cores": 1, "store_address": "${4:-$net.1:8102}",
 "address_lifetime_ms": 3000, "configuration_limit_ms": 3000, "drain_limit_ms": 3000,
 "zone_limit_ms": 5000, "stop_grace_s": 6, "extra_window_s": 10, "extra_ratio": 0.2,
 "extra_allowance": 58}
JSON
}
# Starts one entry daemon with the command of the deploy file; its process id is in $started.
start() { # NAME
    "$program" --settings "$work/$1.json" >>"$work/$1.log" 2>&1 &
    started=$!
    pids+=("$started")
}
[ -x "$program" ] || { echo "target/ is not built" >&2; exit 2; }
