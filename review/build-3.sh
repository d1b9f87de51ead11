#!/usr/bin/env bash
# Builds the programs of the scripts review/11 to review/15, each of which holds
# the stand-ins that its script starts. Needs g++ and Boost.JSON, as the deploy
# file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/main.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread \
    "$source" -o "target/review-3/$name" -lboost_json
done
