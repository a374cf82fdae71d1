#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3. Needs only a C++20
# compiler.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" \
    -o "target/review-3/$(basename "$source" .cpp)"
done
