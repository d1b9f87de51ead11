#include <benchmark/benchmark.h>

#include "cardamomyard/admission.h"

namespace cardamomyard {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

// Measures queueing one request and starting another, at a given queue length.
void AdmitFromQueue(benchmark::State& state) {
  admission_controller controller(
      {.capacity = {.initial = 1, .max = 1}, .queue_limit = 2000});
  std::vector<std::string> accounts;
  accounts.reserve(8);
  for (int i = 0; i < 8; ++i) {
    accounts.push_back("account-" + std::to_string(i));
  }
  const time_point deadline = kStart + std::chrono::hours(1);
  request_id next_id = 0;
  request_id running_id = 0;
  controller.SubmitOnline(next_id++, accounts[0], 1, deadline, kStart);
  for (std::int64_t i = 0; i < state.range(0); ++i, ++next_id) {
    controller.SubmitOnline(next_id, accounts[next_id % 8], 1, deadline,
                            kStart);
  }
  for (auto _ : state) {
    controller.SubmitOnline(next_id, accounts[next_id % 8], 1, deadline,
                            kStart);
    ++next_id;
    const auto events = controller.Finished(running_id, kStart);
    running_id = std::get<start_request>(events.front()).id;
  }
}
BENCHMARK(AdmitFromQueue)->Arg(10)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace cardamomyard
