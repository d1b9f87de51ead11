#ifndef CARDAMOMYARD_ROUTING_RETRY_POLICY_H_
#define CARDAMOMYARD_ROUTING_RETRY_POLICY_H_

#include <cstdint>
#include <optional>
#include <random>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/routing/retry_budget.h"

namespace cardamomyard {

/// \brief Outcome of a failed attempt, as seen by the entry host.
struct failed_attempt {
  error failure;
  bool repeatable = false;  ///< Whether the request is idempotent.
  std::uint64_t bytes_sent_to_caller = 0;
  int attempts = 1;  ///< Attempts made so far, this one included.
  time_point deadline;
};

/// \brief Decides whether and when a failed request is retried.
class retry_policy {
 public:
  struct options {
    int max_attempts = 3;
    duration first_backoff = std::chrono::milliseconds(10);
    duration max_backoff = std::chrono::seconds(1);
  };

  retry_policy() = default;
  explicit retry_policy(options chosen) : options_(chosen) {}

  /// \brief Decides on the next attempt; takes a retry from \p budget only if
  /// it returns a delay.
  /// \returns the delay before the next attempt, exponential backoff with full
  /// jitter, or nothing if the failure is returned to the caller.
  std::optional<duration> NextAttempt(const failed_attempt& attempt,
                                      retry_budget& budget,
                                      time_point now,
                                      std::mt19937_64& random) const;

 private:
  options options_{};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_RETRY_POLICY_H_
