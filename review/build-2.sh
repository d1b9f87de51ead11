#!/usr/bin/env bash
# Builds the stand-ins and the driver of each case of the second review into target/review-2, with
# the libraries that the build of the deploy file has left in target. It needs only packages that
# the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wno-mismatched-new-delete -I. -Istandins -Itest -pthread)
for package in packages/*/; do flags+=("-I${package}include" "-I$package"); done
sources=(
  standins/common/service_host.cc standins/platform/platform_engine.cc
  standins/platform/platform_store.cc test/harness/platform_fleet.cc
  test/harness/child_process.cc test/harness/test_client.cc test/harness/ports.cc
  test/harness/wait_until.cc
)
pids=()
objects=()
for source in "${sources[@]}"; do
  object=$out/$(basename "$source" .cc).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
mapfile -t libraries < <(find target/packages -name 'libcy_*.a' | sort)
for main in review/*/test/main.cc; do
  number=$(basename "$(dirname "$(dirname "$main")")")
  g++ "${flags[@]}" "$main" "${objects[@]}" -o "$out/case$number" \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    -lboost_json -lssl -lcrypto -lspdlog -lfmt -lthrift -lxxhash
done
