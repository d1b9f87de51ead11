#ifndef CARDAMOMYARD_STANDINS_ENGINE_ORDER_BOOK_H_
#define CARDAMOMYARD_STANDINS_ENGINE_ORDER_BOOK_H_

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomyard::standins {

struct engine_order {
  std::string order;
  std::string name;
  std::string version;
  std::uint64_t fence = 0;
  bool accepted = false;
};

/// \brief Orders in their sequence of arrival, and the fencing check.
class order_book {
 public:
  explicit order_book(bool check_fencing) : check_fencing_(check_fencing) {}

  /// \returns whether the order was taken. An engine that checks refuses a
  /// fence below the highest one it has seen.
  bool Take(engine_order order);
  std::uint64_t highest_fence() const { return highest_fence_; }
  const std::vector<engine_order>& all() const { return orders_; }

 private:
  bool check_fencing_;
  std::uint64_t highest_fence_ = 0;
  std::vector<engine_order> orders_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_ENGINE_ORDER_BOOK_H_
