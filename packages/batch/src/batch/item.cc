#include "src/batch/item.h"

#include <array>

namespace cardamomyard {

std::string_view ToString(item_state value) {
  constexpr std::array<std::string_view, 4> kNames{"pending", "completed",
                                                   "failed", "cancelled"};
  return kNames[static_cast<std::size_t>(value)];
}

item_counts& item_counts::operator+=(const item_counts& other) {
  completed += other.completed;
  failed += other.failed;
  cancelled += other.cancelled;
  return *this;
}

}  // namespace cardamomyard
