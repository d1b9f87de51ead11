#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "cardamomyard/limits.h"

namespace cardamomyard {
namespace {

// Measures one admission check; arguments: accounts, hosts. Requests cycle
// through all accounts.
void BM_Admit(benchmark::State& state) {
  share_table table{1, {}};
  for (int i = 0; i < state.range(1); ++i) {
    table.hosts.push_back("host-" + std::to_string(i));
  }
  limits_snapshot accounts;
  std::vector<std::string> names;
  for (int i = 0; i < state.range(0); ++i) {
    names.push_back("account-" + std::to_string(i));
    accounts[names.back()] = {100, 100};
  }
  time_point now{std::chrono::hours(1)};
  account_limiter limiter("host-0");
  limiter.SetTable(table, table_origin::created, now);
  limiter.SetContact(time_point::max(), now);
  limiter.SetAccounts(1, std::make_shared<const limits_snapshot>(accounts),
                      now);
  for (const std::string& name : names) {
    limiter.Admit(name, now);  // caches the homes of the account
  }
  std::size_t next = 0;
  for (auto _ : state) {
    now += std::chrono::microseconds(10);
    benchmark::DoNotOptimize(limiter.Admit(names[next], now));
    // The step is coprime to every account count, so each account is visited.
    next = (next + 7919) % names.size();
  }
}
BENCHMARK(BM_Admit)
    ->Args({48, 560})
    ->Args({4800, 560})
    ->Args({48000, 560})
    ->Args({48000, 4})
    ->Args({48000, 56});

}  // namespace
}  // namespace cardamomyard
