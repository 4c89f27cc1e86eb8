#!/usr/bin/env bash
# Guards against a field of any length that ends the process: each address of the entry daemon, at its own limits,
# refuses a long header and a long trailer field and answers afterwards.
. "$(dirname "$0")/common.sh"
relay_settings 23101
run "$bin/knapweedchute-entryd" --settings "$work/entry.json"
status() { # PORT: of what arrives on standard input
    local answer=""
    exec 3<>"/dev/tcp/127.0.0.1/$1" || return
    { cat >&3; } 2>/dev/null || true
    IFS= read -r -t 3 -u 3 answer || true
    exec 3<&- 3>&-
    echo "${answer:9:3}"
}
answers() { # PORT
    [ -n "$(printf 'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n' | status "$1")" ]
}
long() { printf "%*s" "$1" "" | tr ' ' x; }
until_true 10 "the daemon answers" answers 23105
for port in 23101 23102 23103 23104 23105; do
    for length in 20000 65533 65534 66000 70000 250000; do
        got=$({ printf 'GET / HTTP/1.1\r\nHost: h\r\nX: '; long "$length"; printf '\r\n\r\n'; } | status "$port")
        [ "$got" = 431 ] || fail "header of $length bytes at $port: $got"
        got=$({
            printf 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: '
            long "$length"
            printf '\r\n\r\n'
        } | status "$port")
        [ "$got" = 400 ] || fail "trailer field of $length bytes at $port: $got"
        answers "$port" || fail "no answer at $port after a field of $length bytes"
    done
done
kill -TERM "${pids[-1]}"
ends_well "${pids[-1]}" 5 "stop"
echo passed
