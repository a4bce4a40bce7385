#!/bin/sh
# Builds the stand-ins of the cases 11 to 13. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/tools-3/*.cpp; do
    c++ -std=c++20 -O2 -pthread -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
