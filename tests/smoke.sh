#!/bin/sh
# Runs the daemon on loopback. Guards against broken options, settings errors that do not name their
# field or exit with another status than 2, and wrong HTTP status codes without a state service.
set -eu
daemon=$1
source=$(dirname "$0")/..
dir=$(mktemp -d)
trap 'kill "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT
pid=
fail() { echo "smoke: $1"; exit 1; }

"$daemon" --version | grep -q '^fawnwheeld ' || fail "no version"
"$daemon" --help >/dev/null || fail "no help"

cat > "$dir/settings.json" <<JSON
{"host_name": "n-0", "area": "a", "front": "127.0.0.1:18671",
 "internal_addr": "127.0.0.1:18672", "others": [], "unknown_field": 1,
 "outside": {"cloud": "127.0.0.1:18673", "state": "127.0.0.1:18674"}}
JSON
"$daemon" --config "$dir/settings.json" --check || fail "good settings refused"

sed 's/"front": "127.0.0.1:18671",//' "$dir/settings.json" > "$dir/bad.json"
status=0
"$daemon" --config "$dir/bad.json" 2> "$dir/err" || status=$?
[ "$status" = 2 ] || fail "missing field: exit $status"
grep -q 'front' "$dir/err" || fail "missing field not named"

printf '[moves]\nlow = 5\nnonsense = 1\n' > "$dir/operator.ini"
status=0
"$daemon" --config "$dir/settings.json" --operator "$dir/operator.ini" --check 2> "$dir/err" ||
    status=$?
[ "$status" = 2 ] || fail "unknown operator setting: exit $status"
grep -q 'moves.nonsense' "$dir/err" || fail "unknown operator setting not named"

refused() {  # SECTION.KEY VALUE: checks that the daemon exits with status 2 and names the field
    printf '[%s]\n%s = %s\n' "${1%%.*}" "${1#*.}" "$2" > "$dir/operator.ini"
    status=0
    "$daemon" --config "$dir/settings.json" --operator "$dir/operator.ini" --check 2> "$dir/err" ||
        status=$?
    [ "$status" = 2 ] || fail "$1 = $2: exit $status"
    grep -q "$1" "$dir/err" || fail "$1 not named"
}
refused sharing.enabled maybe
refused sharing.low -1
refused sharing.high 0.1
refused sharing.hold_s soon
refused sharing.moves_per_minute 0
refused sharing.solver_steps 1e99
refused sharing.nonsense 1
"$daemon" --config "$dir/settings.json" --operator "$source/deploy/sharing.ini" --check ||
    fail "deploy/sharing.ini refused"

"$daemon" --config "$dir/settings.json" 2> "$dir/log" &
pid=$!
code() { curl -s -o /dev/null -m 5 -w '%{http_code}' "$@"; }
base=http://127.0.0.1:18671
for _ in 1 2 3 4 5 6 7 8 9 10; do
    [ "$(code "$base/nowhere")" = 404 ] && break
    sleep 0.2
done
[ "$(code "$base/nowhere")" = 404 ] || fail "unknown path"
[ "$(code "$base/healthz")" = 503 ] || fail "healthy without a state service"
[ "$(code -X POST "$base/healthz")" = 405 ] || fail "wrong method"
[ "$(code -X POST --data nonsense "$base/api/jobs")" = 400 ] || fail "malformed submission"
[ "$(code -X POST --data nonsense "$base/v1/report")" = 400 ] || fail "malformed report"
head -c 70000 /dev/zero > "$dir/large"
[ "$(code -X POST --data-binary "@$dir/large" "$base/api/jobs")" = 413 ] || fail "large body"
kill -0 "$pid" || fail "ended by itself"
echo "smoke: passed"
