#!/bin/sh
# Builds the stand-ins and cases of the second review into target/review-2.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -I$root/review/standin-2"
for source in net world; do
    g++ $flags -c "$root/review/standin-2/$source.cpp" -o "$out/$source.o"
done
for source in "$root"/review/[4-8]/test.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ $flags "$source" "$out/net.o" "$out/world.o" -o "$out/case-$number"
done
