#ifndef CARDAMOMYARD_STANDINS_STORE_CALL_BUDGET_H_
#define CARDAMOMYARD_STANDINS_STORE_CALL_BUDGET_H_

#include "cardamomyard/base.h"

namespace cardamomyard::standins {

/// \brief Calls per second, with up to one second's worth saved up.
class call_budget {
 public:
  call_budget(double per_second, time_point now);
  /// \returns whether a call may be made, and counts it.
  bool Take(time_point now);
  /// Counts \p calls that cannot be refused, such as waiting watches; the
  /// budget may become negative.
  void Charge(double calls, time_point now);

 private:
  void Refill(time_point now);

  double per_second_;
  double left_;
  time_point refilled_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_STORE_CALL_BUDGET_H_
