#include <benchmark/benchmark.h>

#include "cardamomyard/admission.h"

namespace cardamomyard {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

// One request joins a queue of the given length and another one starts.
void AdmitFromQueue(benchmark::State& state) {
  admission_controller control(
      {.capacity = {.initial = 1, .max = 1}, .queue_limit = 2000});
  std::vector<std::string> accounts;
  accounts.reserve(8);
  for (int i = 0; i < 8; ++i) {
    accounts.push_back("account-" + std::to_string(i));
  }
  const time_point deadline = kStart + std::chrono::hours(1);
  request_id next = 0;
  request_id running = 0;
  control.SubmitOnline(next++, accounts[0], 1, deadline, kStart);
  for (std::int64_t i = 0; i < state.range(0); ++i, ++next) {
    control.SubmitOnline(next, accounts[next % 8], 1, deadline, kStart);
  }
  for (auto _ : state) {
    control.SubmitOnline(next, accounts[next % 8], 1, deadline, kStart);
    ++next;
    const auto events = control.Finished(running, kStart);
    running = std::get<start_request>(events.front()).id;
  }
}
BENCHMARK(AdmitFromQueue)->Arg(10)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace cardamomyard
