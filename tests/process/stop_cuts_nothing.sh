#!/usr/bin/env bash
# A stop of the entry daemon answers what callers had begun: a connection without a byte, a header
# half read, a body half sent, a second request in the same packet; a second SIGTERM changes nothing.
. "$(dirname "$0")/common.sh"
relay_settings 23301
run "$bin/knapweedchute-entryd" --settings "$work/entry.json"
up() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' http://127.0.0.1:23302/api/ready)" = 503 ]; }
until_true 10 "the daemon is up" up

exec 4<>/dev/tcp/127.0.0.1/23301 5<>/dev/tcp/127.0.0.1/23301 6<>/dev/tcp/127.0.0.1/23301 7<>/dev/tcp/127.0.0.1/23301
printf 'GET /half HTTP/1.1\r\nHo' >&5
printf 'POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab' >&6
kill -TERM "${pids[-1]}"
kill -TERM "${pids[-1]}"
sleep 0.3 # addresses are still in use
printf 'GET /late HTTP/1.1\r\nHost: h\r\n\r\n' >&4
sleep 0.8 # after the lifetime of addresses, while requests are partly read
printf 'st: h\r\n\r\n' >&5
printf 'cd' >&6
answered() { # DESCRIPTOR WHAT
    local text
    text=$(timeout 3 cat <&"$1" | tr -d '\r' || true)
    grep -q '^HTTP/1.1 503 ' <<<"$text" || fail "$2 got no answer: $text"
    grep -qi '^Connection: close' <<<"$text" || fail "$2 is not told that the connection closes"
}
answered 4 "a connection accepted before the stop"
answered 5 "a header half read"
answered 6 "a body half sent"
exec 4>&- 5>&- 6>&- 7>&-
ends_well "${pids[-1]}" 4 "stop within the grace"
echo passed
