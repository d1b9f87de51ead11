#include "src/jobs/append_limit.h"

#include <algorithm>
#include <iterator>

namespace cardamomyard {

std::vector<job_item_result> append_limit::TakeFrom(
    std::vector<job_item_result>& results) const {
  const auto end = results.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         max_results_, results.size()));
  std::vector<job_item_result> taken(std::make_move_iterator(results.begin()),
                                     std::make_move_iterator(end));
  results.erase(results.begin(), end);
  return taken;
}

void append_limit::Lower(std::size_t count) {
  max_results_ = std::max<std::size_t>(1, count / 2);
}

void append_limit::Raise() {
  constexpr std::size_t kMax = std::numeric_limits<std::size_t>::max();
  max_results_ = max_results_ > kMax / 2 ? kMax : max_results_ * 2;
}

}  // namespace cardamomyard
