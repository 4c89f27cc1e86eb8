# Helpers of the tests with whole processes. Source it with the folder of the programs as $1.
set -euo pipefail
bin=$1
work=$(mktemp -d)
pids=()
finish() {
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT TERM
fail() { echo "failed: $1" >&2; exit 1; }
run() { "$@" >>"$work/log" 2>&1 & pids+=($!); }
until_true() { # LIMIT_SECONDS WHAT COMMAND...
    local limit=$1 what=$2 end
    shift 2
    end=$((SECONDS + limit))
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fail "not within $limit s: $what"
        sleep 0.05
    done
}
ends_well() { # PID LIMIT_SECONDS WHAT
    local end=$((SECONDS + $2)) code=0
    while kill -0 "$1" 2>/dev/null; do
        [ "$SECONDS" -lt "$end" ] || fail "$3: still running after $2 s"
        sleep 0.05
    done
    wait "$1" || code=$?
    [ "$code" = 0 ] || fail "$3: exit code $code"
}
entry_settings() { # NAME IP_LAST_BYTE ZONE LIFETIME_MS
    cat >"$work/$1.json" <<JSON
{"instance": "$1", "availability_zone": "$3", "deployment": "process-test",
 "key": "process-test-key-01", "operator_key": "process-test-key-02",
 "caller_address": "127.0.0.$2:23010", "admin_address": "127.0.0.$2:23011",
 "peer_address": "127.0.0.$2:23012", "platform_address": "127.0.0.1:23000",
 "seeds": ["127.0.0.1:23012"], "probe_period_ms": 100, "store_period_ms": 200,
 "freshness_limit_ms": 1500, "address_lifetime_ms": $4}
JSON
}
relay_settings() { # FIRST_PORT: settings of knapweedchute-entryd, whose ports follow each other
    cat >"$work/entry.json" <<JSON
{"instance": "i1", "availability_zone": "a", "caller_address": "127.0.0.1:$1",
 "readiness_address": "127.0.0.1:$(($1 + 1))", "directory_address": "127.0.0.1:$(($1 + 2))",
 "admin_address": "127.0.0.1:$(($1 + 3))", "peer_address": "127.0.0.1:$(($1 + 4))", "seeds": [],
 "processor_share": 0.25, "cores": 1, "store_address": "127.0.0.1:$(($1 + 5))",
 "address_lifetime_ms": 200, "stop_grace_s": 3, "extra_window_s": 10, "extra_ratio": 0.2,
 "extra_allowance": 58, "memory_limit_mb": 260}
JSON
}
export KNAPWEEDCTL_OPERATOR_KEY=process-test-key-02
