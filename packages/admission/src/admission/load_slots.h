#ifndef CARDAMOMYARD_ADMISSION_LOAD_SLOTS_H_
#define CARDAMOMYARD_ADMISSION_LOAD_SLOTS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"

namespace cardamomyard {

/// \brief Lease on one of the fleet's concurrent model loads.
struct load_slot {
  std::string holder;
  wall_time expiry;

  friend bool operator==(const load_slot&, const load_slot&) = default;
};

/// \brief Value of the object `weights/slots`, a semaphore that bounds the
/// concurrent model loads, since they share the weight store's bandwidth.
///
/// Each change is a conditional update of the whole record.
class load_slots {
 public:
  load_slots() = default;
  explicit load_slots(std::vector<load_slot> slots)
      : slots_(std::move(slots)) {}

  /// \brief Acquires or renews the slot of \p holder and drops expired slots.
  /// \returns the record to write, or `overloaded` with the time until the next
  /// slot expires.
  result<load_slots> Acquire(const std::string& holder,
                             std::size_t max_loads,
                             wall_time now,
                             std::chrono::milliseconds lifetime) const;
  /// \returns the record without the slot of \p holder.
  load_slots Release(const std::string& holder) const;

  const std::vector<load_slot>& slots() const { return slots_; }

  friend bool operator==(const load_slots&, const load_slots&) = default;

 private:
  std::vector<load_slot> slots_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_LOAD_SLOTS_H_
