#include "src/admission/load_slots.h"

#include <algorithm>
#include <cassert>

namespace cardamomyard {

load_slots load_slots::Release(const std::string& holder) const {
  load_slots next = *this;
  std::erase_if(next.slots_,
                [&](const load_slot& slot) { return slot.holder == holder; });
  return next;
}

result<load_slots> load_slots::Acquire(
    const std::string& holder,
    std::size_t max_loads,
    wall_time now,
    std::chrono::milliseconds lifetime) const {
  assert(max_loads > 0 && "max_loads must be at least 1");
  load_slots next = Release(holder);
  std::erase_if(next.slots_,
                [&](const load_slot& slot) { return slot.expiry <= now; });
  if (next.slots_.size() >= max_loads) {
    const auto first = std::min_element(
        next.slots_.begin(), next.slots_.end(),
        [](const auto& a, const auto& b) { return a.expiry < b.expiry; });
    return Fail(
        error::Make(error_kind::overloaded, "all load slots are taken")
            .WithRetryAfter(std::chrono::ceil<std::chrono::milliseconds>(
                first->expiry - now)));
  }
  next.slots_.push_back({holder, now + lifetime});
  return next;
}

}  // namespace cardamomyard
