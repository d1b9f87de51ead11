#ifndef CARDAMOMYARD_TOOLS_LOADGEN_ARRIVALS_H_
#define CARDAMOMYARD_TOOLS_LOADGEN_ARRIVALS_H_

#include <cstdint>
#include <random>

#include "load_profile.h"

namespace cardamomyard::loadgen {

/// \brief Times of a caller's requests: a Poisson process whose rate rises in
/// bursts. It does not depend on answers, so slow answers do not slow the load.
class arrivals {
 public:
  arrivals(const caller_profile& caller, std::uint64_t seed);
  /// \returns the seconds from the start to the next request.
  double Next();

 private:
  double RateAt(double seconds) const;

  caller_profile caller_;
  double highest_rate_;
  std::mt19937_64 random_;
  double at_ = 0;
};

}  // namespace cardamomyard::loadgen

#endif  // CARDAMOMYARD_TOOLS_LOADGEN_ARRIVALS_H_
