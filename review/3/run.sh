#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$here")
cd "$here/../.." || exit 2
[ -x target/fawnwheeld ] || { echo "target/fawnwheeld is not built"; exit 2; }
[ -x "target/review/case$number" ] || sh review/build.sh || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 118 "target/review/case$number" "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
