#ifndef CARDAMOMYARD_LIMITS_NAIVE_LIMITER_H_
#define CARDAMOMYARD_LIMITS_NAIVE_LIMITER_H_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "src/limits/token_bucket.h"

namespace cardamomyard {

/// \brief Splits rate and burst equally over a fixed number of hosts; the
/// baseline in tests and benchmarks.
class naive_limiter {
 public:
  explicit naive_limiter(std::size_t hosts) : hosts_(hosts) {}

  void SetAccount(const std::string& account,
                  account_limits limits,
                  time_point now) {
    const auto hosts = static_cast<double>(hosts_);
    const account_limits share{limits.rate_per_second / hosts,
                               limits.burst / hosts};
    buckets_.insert_or_assign(account, token_bucket(share, share.burst, now));
  }

  bool Admit(const std::string& account, time_point now) {
    const auto it = buckets_.find(account);
    return it != buckets_.end() && it->second.Take(1, now);
  }

 private:
  std::size_t hosts_;
  std::unordered_map<std::string, token_bucket> buckets_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_LIMITS_NAIVE_LIMITER_H_
