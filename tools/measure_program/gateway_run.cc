#include "gateway_run.h"

#include <atomic>
#include <boost/json.hpp>
#include <future>
#include <thread>
#include <vector>

#include "harness/platform_fleet.h"
#include "process_usage.h"

namespace cardamomyard::measure {
namespace json = boost::json;
namespace {

using harness::platform_fleet;

// Processes learn the configuration and each other before the measurement.
constexpr std::chrono::seconds kSettle{3};
// At 2 % of 0.19 core, ten seconds are 4 of the kernel's ticks of 10 ms.
constexpr std::chrono::seconds kMeasured{10};
constexpr int kStreamsAtOnce = 32;
constexpr int kRounds = 6;
constexpr int kShortStream = 12;
constexpr int kLongStream = 212;
// More than the streams of all rounds, so that no request is refused.
constexpr double kRatePerSecond = 10'000;
constexpr double kMicrosecondsPerSecond = 1e6;

json::object Idle(pid_t pid, const process_usage& before) {
  const process_usage now = ReadUsage(pid);
  return {{"cpu", (now.cpu_seconds - before.cpu_seconds) /
                      static_cast<double>(kMeasured.count())},
          {"resident_mb", now.resident_mb}};
}

/// \returns the processor seconds of the gateway for all streams, or an error
/// when a stream was not served whole.
result<double> ServeStreams(platform_fleet& fleet,
                            const platform_fleet::host& gateway,
                            int events) {
  for (auto* engine : fleet.engines()) {
    engine->SetEvents(events);
  }
  const double before = ReadUsage(gateway.process->pid()).cpu_seconds;
  std::atomic<int> whole{0};
  std::vector<std::future<void>> callers;
  callers.reserve(kStreamsAtOnce);
  for (int caller = 0; caller < kStreamsAtOnce; ++caller) {
    callers.push_back(std::async(std::launch::async, [&, caller] {
      for (int round = 0; round < kRounds; ++round) {
        const std::string id = std::to_string(events) + "-" +
                               std::to_string(caller) + "-" +
                               std::to_string(round);
        const auto answer = fleet.client().Stream(
            gateway.front, fleet.Request("POST", "/draft/1", id, "hello"));
        whole += answer.status == 200 && answer.whole ? 1 : 0;
      }
    }));
  }
  for (std::future<void>& caller : callers) {
    caller.get();
  }
  if (whole != kStreamsAtOnce * kRounds) {
    return Fail(error_kind::internal,
                std::to_string(kStreamsAtOnce * kRounds - whole) +
                    " streams were not served whole");
  }
  return ReadUsage(gateway.process->pid()).cpu_seconds - before;
}

}  // namespace

result<std::string> RunGateway() {
  platform_fleet fleet(
      {.engines = 2, .slots = kStreamsAtOnce, .rate_per_s = kRatePerSecond});
  const auto gateway = fleet.Start("gateway", "g1");
  const auto worker = fleet.Start("worker", "w1");
  if (!platform_fleet::Eventually([&] { return fleet.Ready(gateway); })) {
    return Fail(error_kind::internal, "the gateway is not ready");
  }
  std::this_thread::sleep_for(kSettle);
  const process_usage idle_gateway = ReadUsage(gateway.process->pid());
  const process_usage idle_worker = ReadUsage(worker.process->pid());
  std::this_thread::sleep_for(kMeasured);
  json::object out{{"idle_gateway", Idle(gateway.process->pid(), idle_gateway)},
                   {"idle_worker", Idle(worker.process->pid(), idle_worker)}};
  const result<double> short_cpu = ServeStreams(fleet, gateway, kShortStream);
  if (!short_cpu) {
    return Fail(short_cpu.error());
  }
  const result<double> long_cpu = ServeStreams(fleet, gateway, kLongStream);
  if (!long_cpu) {
    return Fail(long_cpu.error());
  }
  constexpr int kStreams = kStreamsAtOnce * kRounds;
  const double event_us = (*long_cpu - *short_cpu) * kMicrosecondsPerSecond /
                          (kStreams * (kLongStream - kShortStream));
  out["event_us"] = event_us;
  out["request_us"] =
      *short_cpu * kMicrosecondsPerSecond / kStreams - event_us * kShortStream;
  out["events"] = kStreams * (kLongStream + kShortStream);
  out["resident_mb_after"] = ReadUsage(gateway.process->pid()).resident_mb;
  return json::serialize(out);
}

}  // namespace cardamomyard::measure
