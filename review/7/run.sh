#!/bin/sh
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
# Needs the build of deploy/service.toml and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
daemon=$root/$(sed -n 's/^run = "\([^ "]*\).*/\1/p' "$root/deploy/service.toml")
program=$root/target/review-2/case-$(basename "$here")
[ -x "$daemon" ] && [ -x "$program" ] || { echo "not built"; exit 2; }
timeout -k 1 118 "$program" "$daemon" "$here/record.txt"
status=$?
[ $status -le 1 ] && exit $status
exit 2
