#!/usr/bin/env bash
# Builds the scripts of faults that were shown but are no cases of the third
# review; target/review-3/NAME RECORD runs one, from the repository's root.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/lib-3/shown/*.cc; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread \
    "$source" -o "target/review-3/$(basename "$source" .cc)" -lboost_json
done
