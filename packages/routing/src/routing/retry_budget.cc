#include "src/routing/retry_budget.h"

#include <algorithm>

namespace cardamomyard {
namespace {

constexpr int kTenthsPerRetry = 10;
// A long quiet time saves at most 100 retries; without the cap it would pay for
// a storm.
constexpr int kMaxTenths = 100 * kTenthsPerRetry;

}  // namespace

void retry_budget::AddRequest() {
  tenths_ = std::min(tenths_ + 1, kMaxTenths);
}

bool retry_budget::TryTakeRetry() {
  if (tenths_ < kTenthsPerRetry) {
    return false;
  }
  tenths_ -= kTenthsPerRetry;
  return true;
}

}  // namespace cardamomyard
