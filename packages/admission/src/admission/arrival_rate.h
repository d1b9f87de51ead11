#ifndef CARDAMOMYARD_ADMISSION_ARRIVAL_RATE_H_
#define CARDAMOMYARD_ADMISSION_ARRIVAL_RATE_H_

#include <cmath>

#include "src/base/clock.h"

namespace cardamomyard::internal {

/// \brief Exponentially weighted arrival rate with a time constant of two
/// seconds.
class arrival_rate {
 public:
  void Add(time_point now) {
    decayed_count_ = Decayed(now) + 1;
    last_arrival_ = now;
  }
  double PerSecond(time_point now) const {
    return Decayed(now) / kTimeConstantSeconds;
  }

 private:
  static constexpr double kTimeConstantSeconds = 2.0;
  double Decayed(time_point now) const {
    const double age =
        std::chrono::duration<double>(now - last_arrival_).count();
    return decayed_count_ * std::exp(-age / kTimeConstantSeconds);
  }
  double decayed_count_ = 0;
  time_point last_arrival_;
};

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_ADMISSION_ARRIVAL_RATE_H_
