#include "store/call_budget.h"

#include <algorithm>

namespace cardamomyard::standins {

call_budget::call_budget(double per_second, time_point now)
    : per_second_(per_second), left_(per_second), refilled_(now) {}

void call_budget::Refill(time_point now) {
  const std::chrono::duration<double> passed = now - refilled_;
  left_ = std::min(per_second_, left_ + passed.count() * per_second_);
  refilled_ = now;
}

bool call_budget::Take(time_point now) {
  Refill(now);
  if (left_ < 1) {
    return false;
  }
  left_ -= 1;
  return true;
}

void call_budget::Charge(double calls, time_point now) {
  Refill(now);
  left_ -= calls;
}

}  // namespace cardamomyard::standins
