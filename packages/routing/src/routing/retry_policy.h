#ifndef CARDAMOMYARD_ROUTING_RETRY_POLICY_H_
#define CARDAMOMYARD_ROUTING_RETRY_POLICY_H_

#include <cstdint>
#include <optional>
#include <random>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/routing/retry_budget.h"

namespace cardamomyard {

/// \brief A failed attempt as the entry host saw it.
struct failed_attempt {
  error failure;
  bool repeatable = false;
  std::uint64_t bytes_sent_to_caller = 0;
  int attempts = 1;  ///< Attempts made so far, this one included.
  time_point deadline;
};

/// \brief Decides whether a failed request is sent again.
class retry_policy {
 public:
  struct options {
    int max_attempts = 3;
    duration first_backoff = std::chrono::milliseconds(10);
    duration max_backoff = std::chrono::seconds(1);
  };

  retry_policy() = default;
  explicit retry_policy(options chosen) : options_(chosen) {}

  /// \brief Decides on the next attempt. Takes from \p budget only when it
  /// allows one.
  /// \returns the time to wait before the next attempt, uniform between zero
  /// and the exponential bound, or nothing when the failure goes to the caller.
  std::optional<duration> NextAttempt(const failed_attempt& attempt,
                                      retry_budget& budget,
                                      time_point now,
                                      std::mt19937_64& random) const;

 private:
  options options_{};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_RETRY_POLICY_H_
