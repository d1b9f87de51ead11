#include "src/routing/retry_budget.h"

#include <algorithm>

namespace cardamomyard {
namespace {

constexpr int kTenthsPerRetry = 10;
// At most 100 retries accumulate. Without the cap, the requests of a long
// period without failures would fund a retry storm.
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
