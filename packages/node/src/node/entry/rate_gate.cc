#include "src/node/entry/rate_gate.h"

#include <algorithm>
#include <utility>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

using std::chrono::milliseconds;

// Limits one request to about thirty messages to each home.
constexpr milliseconds kMinTokenWait{5};

/// Returns why a request is not admitted yet.
refused ReasonOf(const admission& answer) {
  if (const auto* borrow = std::get_if<must_borrow>(&answer)) {
    return {error_kind::rate_limited, borrow->retry_after};
  }
  return std::get<refused>(answer);
}

error ToError(const refused& reason, const std::string& account) {
  const std::string message =
      reason.kind == error_kind::isolated
          ? "this host has no contact with the rest of the system"
      : reason.kind == error_kind::not_ready
          ? "the limits of \"" + account + "\" are not known here yet"
          : "the rate limit of \"" + account + "\" is exceeded";
  return error::Make(reason.kind, message)
      .WithOutcome(outcome::not_run)
      .WithRetryAfter(reason.retry_after);
}

}  // namespace

rate_gate::rate_gate(account_limiter& limiter,
                     const clock& time,
                     std::string self,
                     borrow_function send_borrow)
    : limiter_(&limiter),
      clock_(&time),
      self_(std::move(self)),
      borrow_(std::move(send_borrow)) {}

asio::awaitable<result<void>> rate_gate::Take(std::string account) {
  const time_point deadline = clock_->Now() + kMaxTokenWait;
  while (true) {
    admission answer = limiter_->Admit(account, clock_->Now());
    if (std::holds_alternative<must_borrow>(answer)) {
      answer = co_await Borrow(account, std::move(answer), deadline);
    }
    if (std::holds_alternative<admitted>(answer)) {
      co_return result<void>();
    }
    const refused reason = ReasonOf(answer);
    if (reason.kind != error_kind::rate_limited ||
        clock_->Now() + reason.retry_after > deadline) {
      co_return Fail(ToError(reason, account));
    }
    co_await SleepFor(std::max(reason.retry_after, kMinTokenWait));
  }
}

asio::awaitable<admission> rate_gate::Borrow(std::string account,
                                             admission first,
                                             time_point deadline) {
  admission answer = std::move(first);
  const std::vector<std::string> homes = std::get<must_borrow>(answer).homes;
  for (std::size_t asked = 0; asked < homes.size(); ++asked) {
    const auto* missing = std::get_if<must_borrow>(&answer);
    const time_point sent = clock_->Now();
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - sent);
    if (missing == nullptr || left <= milliseconds(0)) {
      break;
    }
    // Leaves time for the next home if this one does not answer.
    const milliseconds timeout =
        asked + 1 < homes.size() ? std::max(left / 2, milliseconds(1)) : left;
    borrow message;
    message.account = account;
    message.borrower = self_;
    message.amount = missing->amount;
    message.least = missing->minimum;
    auto reply = co_await borrow_(homes[asked], std::move(message), timeout);
    if (!reply) {
      continue;
    }
    if (!(reply->granted > 0)) {
      // The only home knows when it will have the token; without contact or
      // limits, it returns no time.
      if (homes.size() == 1 && reply->retry_after > milliseconds(0)) {
        answer = refused{error_kind::rate_limited, reply->retry_after};
      }
      continue;
    }
    loan granted;
    granted.tokens = reply->granted;
    granted.valid_for = reply->good_for;
    limiter_->Credit(account, granted, sent, clock_->Now());
    answer = limiter_->Admit(account, clock_->Now());
  }
  co_return answer;
}

borrow_reply rate_gate::Lend(const borrow& message) {
  const loan granted = limiter_->Lend(message.account, message.amount,
                                      message.least, clock_->Now());
  borrow_reply reply;
  reply.granted = granted.tokens;
  // Rounded down: a loan may expire too early but never too late.
  reply.good_for = std::chrono::floor<milliseconds>(granted.valid_for);
  reply.retry_after = granted.retry_after;
  return reply;
}

}  // namespace cardamomyard
