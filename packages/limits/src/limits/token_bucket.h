#ifndef CARDAMOMYARD_LIMITS_TOKEN_BUCKET_H_
#define CARDAMOMYARD_LIMITS_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Rate and burst of one client account, or a host's share of them.
struct account_limits {
  double rate_per_second = 0;
  double burst = 0;

  friend bool operator==(const account_limits&,
                         const account_limits&) = default;
};

/// \brief A token bucket with fixed rate and burst; tokens are fractional.
class token_bucket {
 public:
  token_bucket(account_limits limits, double tokens, time_point now)
      : limits_(limits),
        tokens_(std::min(tokens, limits.burst)),
        updated_(now) {}

  /// \returns the tokens at \p now. A time before the last call adds none.
  double Available(time_point now) {
    if (now > updated_) {
      const std::chrono::duration<double> elapsed = now - updated_;
      tokens_ = std::min(limits_.burst,
                         tokens_ + limits_.rate_per_second * elapsed.count());
      updated_ = now;
    }
    return tokens_;
  }

  /// \brief Takes \p amount tokens if that many are available.
  /// \returns whether they were taken.
  bool Take(double amount, time_point now) {
    if (Available(now) < amount) {
      return false;
    }
    tokens_ -= amount;
    return true;
  }

  const account_limits& limits() const { return limits_; }

 private:
  account_limits limits_;
  double tokens_;
  time_point updated_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_LIMITS_TOKEN_BUCKET_H_
