#include "engine/order_book.h"

#include <algorithm>
#include <utility>

namespace cardamomyard::standins {

bool order_book::Take(engine_order order) {
  order.accepted = !check_fencing_ || order.fence >= highest_fence_;
  highest_fence_ = std::max(highest_fence_, order.fence);
  orders_.push_back(std::move(order));
  return orders_.back().accepted;
}

}  // namespace cardamomyard::standins
