#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::chrono::milliseconds kMaxWait{200};

std::string Name(const std::string& kind, std::int64_t number) {
  return kind + "-" + std::to_string(number);
}

std::vector<std::string> Hosts(std::int64_t count) {
  std::vector<std::string> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (std::int64_t i = 0; i < count; ++i) {
    hosts.push_back(Name("host", i));
  }
  return hosts;
}

/// The hosts together have about four requests at each server.
std::vector<backend_load> Digest(std::int64_t host,
                                 std::int64_t servers,
                                 std::int64_t hosts) {
  std::vector<backend_load> loads;
  const std::int64_t entries = std::max<std::int64_t>(1, 4 * servers / hosts);
  for (std::int64_t i = 0; i < entries; ++i) {
    loads.push_back({Name("server", (host + i * hosts) % servers), 1, 0});
  }
  return loads;
}

void Fill(backend_pool& pool, std::int64_t servers, std::int64_t hosts) {
  std::vector<usable_backend> backends;
  for (std::int64_t i = 0; i < servers; ++i) {
    usable_backend backend;
    backend.entry.id = Name("server", i);
    backend.entry.service = "lm";
    backend.entry.zone = "zone";
    backend.entry.slots = 8;
    backends.push_back(std::move(backend));
  }
  std::sort(backends.begin(), backends.end(), [](const auto& a, const auto& b) {
    return a.entry.id < b.entry.id;
  });
  pool.SetBackends(std::move(backends));
  for (std::int64_t host = 1; host < hosts; ++host) {
    pool.SetPeerLoads(Name("host", host), Digest(host, servers, hosts));
  }
}

/// Cost of placing one request, with servers and hosts as arguments.
void OnlineDecision(benchmark::State& state) {
  backend_pool pool;
  Fill(pool, state.range(0), state.range(1));
  online_placement placement("host-0", "zone", 1);
  placement.SetHosts(Hosts(state.range(1)));
  for (auto _ : state) {
    const auto chosen = placement.Choose(pool, "lm", {}, kMaxWait, kStart);
    const auto& server = std::get<chosen_backend>(chosen).server.entry.id;
    pool.RecordStart(server, work_class::online);
    pool.RecordEnd(server, work_class::online);
  }
}
BENCHMARK(OnlineDecision)->ArgsProduct({{30, 300, 3000}, {30, 300}});

/// Cost of placing one batch item, within a pass of a worker.
void BatchDecision(benchmark::State& state) {
  backend_pool pool;
  Fill(pool, state.range(0), state.range(1));
  batch_placement placement("host-0");
  const std::vector<std::string> hosts = Hosts(state.range(1));
  placement.Observe(pool.Status("lm", kStart), kStart);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        placement.Choose(pool.Status("lm", kStart), hosts, 0, kStart));
  }
}
BENCHMARK(BatchDecision)->ArgsProduct({{30, 300, 3000}, {30, 300}});

/// Cost of a peer's digest in which one server changed.
void PeerDigest(benchmark::State& state) {
  backend_pool pool;
  Fill(pool, state.range(0), state.range(1));
  std::vector<backend_load> loads = Digest(1, state.range(0), state.range(1));
  for (auto _ : state) {
    loads.front().online = 3 - loads.front().online;
    pool.SetPeerLoads("host-1", loads);
  }
}
BENCHMARK(PeerDigest)->ArgsProduct({{30, 300, 3000}, {30, 300}});

}  // namespace
}  // namespace cardamomyard
