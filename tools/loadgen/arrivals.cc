#include "arrivals.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cardamomyard::loadgen {

arrivals::arrivals(const caller_profile& caller, std::uint64_t seed)
    : caller_(caller),
      highest_rate_(caller.burst_period_s > 0
                        ? caller.rate * std::max(1.0, caller.burst_factor)
                        : caller.rate),
      random_(Hash64(caller.name, seed)) {}

double arrivals::RateAt(double seconds) const {
  if (caller_.burst_period_s <= 0) {
    return caller_.rate;
  }
  const bool burst =
      std::fmod(seconds, caller_.burst_period_s) < caller_.burst_length_s;
  return burst ? caller_.rate * caller_.burst_factor : caller_.rate;
}

double arrivals::Next() {
  if (highest_rate_ <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  // Thinning: candidates come at the highest rate and are kept in proportion.
  std::exponential_distribution<> gap(highest_rate_);
  std::uniform_real_distribution<> keep(0, highest_rate_);
  do {
    at_ += gap(random_);
  } while (keep(random_) >= RateAt(at_));
  return at_;
}

}  // namespace cardamomyard::loadgen
