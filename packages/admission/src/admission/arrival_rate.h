#ifndef CARDAMOMYARD_ADMISSION_ARRIVAL_RATE_H_
#define CARDAMOMYARD_ADMISSION_ARRIVAL_RATE_H_

#include <cmath>

#include "src/base/clock.h"

namespace cardamomyard::internal {

/// \brief Arrivals per second, averaged over the last two seconds.
class arrival_rate {
 public:
  void Add(time_point now) {
    count_ = Decayed(now) + 1;
    last_ = now;
  }
  double PerSecond(time_point now) const { return Decayed(now) / kWindow; }

 private:
  static constexpr double kWindow = 2.0;
  double Decayed(time_point now) const {
    const double age = std::chrono::duration<double>(now - last_).count();
    return count_ * std::exp(-age / kWindow);
  }
  double count_ = 0;
  time_point last_;
};

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_ADMISSION_ARRIVAL_RATE_H_
