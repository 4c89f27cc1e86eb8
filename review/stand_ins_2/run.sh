# Runs one program of review/stand_ins_2/bin/. Source it with the program's name in $program and the case's
# folder in $here.
set -u
root=$(cd "$here/../.." && pwd -P)
entry=$root/target/bin/knapweedchute-entryd
if [ ! -x "$entry" ] || [ ! -x "$root/review/stand_ins_2/bin/$program" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
work=$(mktemp -d)
child=
finish() {
    trap - EXIT INT TERM
    # The program ends the entry processes that it started; their ids stand in a file.
    [ -z "$child" ] || kill -KILL "$child" 2>/dev/null
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" != "$entry" ] || kill -KILL "$pid" 2>/dev/null
        done <"$work/pids"
    fi
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$root/review/stand_ins_2/bin/$program" "$entry" "$work" "$here/record.txt" &
child=$!
code=0
for ((tenths = 0; tenths < 1150; ++tenths)); do
    kill -0 "$child" 2>/dev/null || break
    sleep 0.1
done
if kill -0 "$child" 2>/dev/null; then
    echo "stopped after 115 s" >&2
    exit 2
fi
wait "$child" || code=$?
child=
[ "$code" -le 1 ] || code=2
exit "$code"
