#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <utility>

#include "cardamomyard/config.h"

namespace cardamomyard {
namespace {

constexpr int kAccounts = 48'000;

/// A folder with every account of the design size and one key for each.
const std::vector<config_file>& Folder() {
  static const auto files = [] {
    std::string accounts;
    std::string keys;
    for (int i = 0; i < kAccounts; ++i) {
      const std::string name = "account-" + std::to_string(i);
      accounts += "[account." + name + "]\nrate_per_second = 20.5\nburst = " +
                  std::to_string(i + 1) + "\nweight = 1.0\nmodels = []\n";
      keys += "[key." + name + "-1]\naccount = \"";
      keys += name + "\"\nsha256 = \"" + Sha256Hex(name);
      keys += "\"\nwithdrawn = false\n";
    }
    return std::vector<config_file>{{"a.toml", accounts}, {"k.toml", keys}};
  }();
  return files;
}

const configuration& Whole() {
  static const configuration whole = ParseFolder(Folder()).value();
  return whole;
}

const blob_set& Blobs() {
  static const blob_set blobs = Shard(Whole()).value();
  return blobs;
}

void MergeFolder(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParseFolder(Folder()).value());
  }
}
BENCHMARK(MergeFolder)->Unit(benchmark::kMillisecond);

void AssembleAll(benchmark::State& state) {
  blob_map map;
  std::size_t largest = 0;
  for (const blob_ptr& blob : Blobs()) {
    map[blob->name] = blob->data;
    largest = std::max(largest, blob->data.size());
  }
  const config_head head =
      NextHead(std::nullopt, Blobs(), "a", "s", wall_time(), "n");
  for (auto _ : state) {
    benchmark::DoNotOptimize(Assemble(head, map).value());
  }
  state.counters["largest_blob_bytes"] = static_cast<double>(largest);
}
BENCHMARK(AssembleAll)->Unit(benchmark::kMillisecond);

/// One key is withdrawn: the writer's part.
void WithdrawAndUpdateShards(benchmark::State& state) {
  for (auto _ : state) {
    const auto after = WithdrawKey(Whole(), "account-7-1");
    benchmark::DoNotOptimize(UpdateShards(Blobs(), Whole(), *after).value());
  }
}
BENCHMARK(WithdrawAndUpdateShards)->Unit(benchmark::kMillisecond);

/// One key is withdrawn: the part of every other process.
void TrackOneChange(benchmark::State& state) {
  const auto after = WithdrawKey(Whole(), "account-7-1");
  const blob_set changed = UpdateShards(Blobs(), Whole(), *after).value();
  generation_tracker tracker;
  config_head head;
  const auto step = [&tracker, &head](const blob_set& blobs) {
    head = NextHead(head, blobs, "a", "s", wall_time(), "n");
    tracker.OfferHead(head);
    const auto missing = tracker.MissingBlobs();
    for (const blob_ptr& blob : blobs) {
      if (std::binary_search(missing.begin(), missing.end(), blob->name)) {
        (void)tracker.AddBlob(blob->name, blob->data);
      }
    }
    benchmark::DoNotOptimize(tracker.Advance().value());
  };
  step(Blobs());
  bool odd = false;
  for (auto _ : state) {
    odd = !odd;
    step(odd ? changed : Blobs());
  }
}
BENCHMARK(TrackOneChange)->Unit(benchmark::kMillisecond);

void FindByHash(benchmark::State& state) {
  const std::string hash = Sha256Hex("account-7");
  for (auto _ : state) {
    benchmark::DoNotOptimize(Whole().FindKeyByHash(hash));
  }
}
BENCHMARK(FindByHash);

}  // namespace
}  // namespace cardamomyard
