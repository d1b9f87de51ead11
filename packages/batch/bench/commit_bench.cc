#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "cardamomyard/batch.h"

namespace cardamomyard {
namespace {

// One commit of a group of 1,000 items: parses the record as read from the
// store, applies the results and serializes the new record.
void BM_CommitGroup(benchmark::State& state) {
  const wall_time now{};
  const group_record claimed =
      Claim(std::nullopt, 1000, "sidecar-1", now, kGroupLeaseDuration, "n1")
          .value();
  std::vector<item_result> results(1000);
  for (std::size_t i = 0; i < results.size(); ++i) {
    results[i].item = i;
    results[i].tokens = {120, 80};
  }
  const std::string stored = claimed.ToJson();
  std::size_t bytes = 0;
  for (auto _ : state) {
    group_record record = group_record::Parse(stored).value();
    record = Commit(std::move(record), {"sidecar-1", 1}, "1-1", results,
                    now + kGroupLeaseDuration, "n2")
                 .value();
    const std::string text = record.ToJson();
    bytes = text.size();
    benchmark::DoNotOptimize(text.data());
  }
  state.counters["record_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_CommitGroup);

// The same commit without parsing and serializing.
void BM_CommitDecision(benchmark::State& state) {
  const wall_time now{};
  const group_record claimed =
      Claim(std::nullopt, 1000, "sidecar-1", now, kGroupLeaseDuration, "n1")
          .value();
  std::vector<item_result> results(1000);
  for (std::size_t i = 0; i < results.size(); ++i) {
    results[i].item = i;
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(Commit(claimed, {"sidecar-1", 1}, "1-1", results,
                                    now + kGroupLeaseDuration, "n2"));
  }
}
BENCHMARK(BM_CommitDecision);

}  // namespace
}  // namespace cardamomyard
