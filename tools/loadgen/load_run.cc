#include "load_run.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <memory>
#include <thread>

#include "arrivals.h"
#include "call_runner.h"
#include "request_maker.h"

namespace cardamomyard::loadgen {
namespace asio = boost::asio;

namespace {

/// State that all callers share.
struct run_state {
  const load_profile& profile;
  const run_options& options;
  http_client& client;
  thread_pool& threads;
  time_point started;
  host_clock time{};
  std::atomic<std::size_t> in_flight{0};
  std::atomic<std::size_t> next_target{0};
};

asio::awaitable<void> SendOne(run_state& state,
                              const caller_profile& caller,
                              recorder& records,
                              std::uint64_t index) {
  const auto& targets = state.options.targets;
  host_address target = targets[state.next_target++ % targets.size()];
  call_options options;
  // A kept connection may make the client send twice, so it is used only for
  // completions, which have no side effect.
  options.reuse_connection = caller.path.starts_with("/v1/");
  http_request request = MakeRequest(caller, state.profile.seed, index);
  const std::chrono::duration<double> sent = state.time.Now() - state.started;
  call_record record = co_await RunCall(state.client, std::move(target),
                                        std::move(request), options);
  record.sent_s = sent.count();
  records.Add(record);
  --state.in_flight;
}

asio::awaitable<void> RunCaller(run_state& state,
                                const caller_profile& caller,
                                recorder& records) {
  arrivals schedule(caller, state.profile.seed);
  for (std::uint64_t index = 0;; ++index) {
    const double at = schedule.Next();
    if (at >= state.profile.seconds) {
      break;
    }
    const time_point due =
        state.started +
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(at));
    const duration wait = due - state.time.Now();
    if (wait > duration::zero()) {
      co_await SleepFor(wait);
    }
    if (state.in_flight >= state.options.max_in_flight) {
      records.Skipped();
      continue;
    }
    ++state.in_flight;
    records.Sent();
    asio::co_spawn(state.threads.Next(), SendOne(state, caller, records, index),
                   asio::detached);
  }
}

}  // namespace

result<std::vector<caller_summary>> RunLoad(const load_profile& profile,
                                            const run_options& options) {
  if (options.targets.empty()) {
    return Fail(error_kind::invalid_request, "no target is given");
  }
  std::vector<std::unique_ptr<recorder>> records;
  thread_pool threads(options.threads);
  // Kept connections belong to the contexts, so the client is destroyed first.
  auto client = http_client::Create();
  if (!client) {
    return Fail(client.error());
  }
  const host_clock time;
  run_state state{profile, options, **client, threads, time.Now()};
  std::vector<std::future<void>> running;
  for (const caller_profile& caller : profile.callers) {
    records.push_back(std::make_unique<recorder>());
    running.push_back(asio::co_spawn(threads.Next(),
                                     RunCaller(state, caller, *records.back()),
                                     asio::use_future));
  }
  for (auto& caller : running) {
    caller.get();
  }
  const time_point end = time.Now() + options.drain;
  while (state.in_flight > 0 && time.Now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  threads.Stop();
  std::vector<caller_summary> summaries;
  summaries.reserve(records.size());
  for (const auto& each : records) {
    summaries.push_back(each->Summary());
  }
  return summaries;
}

}  // namespace cardamomyard::loadgen
