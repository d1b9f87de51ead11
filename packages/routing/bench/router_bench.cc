#include <benchmark/benchmark.h>

#include "cardamomyard/routing.h"

namespace cardamomyard {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

std::shared_ptr<const candidate_set> Servers(std::int64_t count) {
  std::vector<backend_candidate> servers;
  for (std::int64_t i = 0; i < count; ++i) {
    servers.push_back({"server-" + std::to_string(i),
                       "suva",
                       "127.0.0.1:1",
                       8,
                       0,
                       std::chrono::milliseconds(20),
                       {},
                       kStart});
  }
  return candidate_set::Make(std::move(servers));
}

template <class Router>
void Choose(benchmark::State& state, Router chosen) {
  chosen.Update(Servers(state.range(0)));
  std::mt19937_64 random(1);
  time_point now = kStart;
  for (auto _ : state) {
    now += std::chrono::microseconds(10);
    const auto choice = chosen.Choose(random(), {}, now, random);
    chosen.RecordSent(choice->id, now);
    chosen.RecordFinished(choice->id, now);
    benchmark::DoNotOptimize(choice);
  }
}

void AffinityChoice(benchmark::State& state) {
  Choose(state, affinity_router("suva"));
}
void LeastLoadedChoice(benchmark::State& state) {
  Choose(state, least_loaded_router("suva"));
}
void RoundRobinChoice(benchmark::State& state) {
  Choose(state, round_robin_router());
}
// Measures a snapshot with changed ids, which builds a new hash ring.
void BuildSnapshot(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(Servers(state.range(0)));
  }
}

BENCHMARK(AffinityChoice)->Arg(12)->Arg(340)->Arg(3400);
BENCHMARK(LeastLoadedChoice)->Arg(12)->Arg(340)->Arg(3400);
BENCHMARK(RoundRobinChoice)->Arg(12)->Arg(340)->Arg(3400);
BENCHMARK(BuildSnapshot)->Arg(12)->Arg(340)->Arg(3400);

}  // namespace
}  // namespace cardamomyard
