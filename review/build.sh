#!/bin/sh
# Builds the stand-ins of the review's cases into target/review/. Needs g++ and nlohmann-json alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -pthread -c review/standin/standin.cpp -o target/review/standin.o
for source in review/[0-9]*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread "$source" target/review/standin.o -o "target/review/case$number"
done
