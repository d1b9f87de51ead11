#include "src/routing/retry_policy.h"

#include <algorithm>

namespace cardamomyard {
namespace {

// A failure caused by the request, the caller or the entry host itself would
// recur at any other backend server.
bool AnotherServerMayAnswer(error_kind kind) {
  switch (kind) {
    case error_kind::overloaded:
    case error_kind::draining:
    case error_kind::no_backend:
    case error_kind::not_ready:
    case error_kind::isolated:
    case error_kind::backend_failed:
    case error_kind::timeout:
    case error_kind::internal:
      return true;
    default:
      return false;
  }
}

bool MayRunAgain(const failed_attempt& attempt) {
  if (attempt.bytes_sent_to_caller > 0) {
    return false;
  }
  switch (attempt.failure.ran()) {
    case outcome::not_run:
      return true;
    case outcome::may_have_run:
      return attempt.repeatable;
    case outcome::ran:
      return false;
  }
  return false;
}

}  // namespace

std::optional<duration> retry_policy::NextAttempt(
    const failed_attempt& attempt,
    retry_budget& budget,
    time_point now,
    std::mt19937_64& random) const {
  if (!MayRunAgain(attempt) || attempt.attempts >= options_.max_attempts ||
      !AnotherServerMayAnswer(attempt.failure.kind())) {
    return std::nullopt;
  }
  duration bound = options_.first_backoff;
  for (int i = 1; i < attempt.attempts && bound < options_.max_backoff; ++i) {
    bound *= 2;
  }
  bound = std::min(bound, options_.max_backoff);
  const duration delay(
      std::uniform_int_distribution<duration::rep>(0, bound.count())(random));
  if (now + delay >= attempt.deadline || !budget.TryTakeRetry()) {
    return std::nullopt;
  }
  return delay;
}

}  // namespace cardamomyard
