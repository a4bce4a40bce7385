#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2. Needs a C++20 compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/main.cpp; do
  case=$(basename "$(dirname "$source")")
  case "$case" in
    6 | 7 | 8 | 9 | 10) ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$case" ;;
  esac
done
