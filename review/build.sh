#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  echo "building $source"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete "$source" \
    -o "target/review/case$number" -lboost_json -lpthread
done
