#!/usr/bin/env bash
# Builds the stand-ins and the driver of each case into target/review. It needs only packages
# that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review/lib
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -Ireview/lib -pthread)
pids=()
objects=()
for source in review/lib/*.cc; do
  object=target/review/lib/$(basename "$source" .cc).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[1-9]/main.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json -o "target/review/case$number"
done
