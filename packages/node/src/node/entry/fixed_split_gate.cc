#include "src/node/entry/fixed_split_gate.h"

namespace cardamomyard {

fixed_split_gate::fixed_split_gate(std::size_t hosts, const clock& time)
    : clock_(&time), limiter_(hosts) {}

void fixed_split_gate::SetAccounts(const limits_snapshot& accounts) {
  const std::lock_guard lock(mutex_);
  for (const auto& [account, limits] : accounts) {
    limiter_.SetAccount(account, limits, clock_->Now());
  }
}

boost::asio::awaitable<result<void>> fixed_split_gate::Take(
    std::string account) {
  const std::lock_guard lock(mutex_);
  if (!limiter_.Admit(account, clock_->Now())) {
    co_return Fail(
        error::Make(error_kind::rate_limited, "the rate limit of \"" + account +
                                                  "\" is exceeded on this host")
            .WithOutcome(outcome::not_run)
            .WithRetryAfter(std::chrono::seconds(1)));
  }
  co_return result<void>();
}

}  // namespace cardamomyard
