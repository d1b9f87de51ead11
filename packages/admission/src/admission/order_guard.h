#ifndef CARDAMOMYARD_ADMISSION_ORDER_GUARD_H_
#define CARDAMOMYARD_ADMISSION_ORDER_GUARD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/base/clock.h"

namespace cardamomyard {

/// \brief The object `engine/<backend>`. It holds no time: observers measure
/// the lease with their own clocks.
struct order_lease {
  std::string holder;
  std::uint64_t fencing_token = 0;  ///< +1 on every takeover.
  std::uint64_t renewal = 0;        ///< +1 on every renewal.

  friend bool operator==(const order_lease&, const order_lease&) = default;
};

/// \brief Keeps orders of a former lease holder away from an engine that
/// ignores fencing numbers.
///
/// The holder counts the lease from before it sent the write; an observer
/// counts it from after it read the record. So the holder stops first, by
/// clocks that need to agree only in speed.
class order_guard {
 public:
  /// \param holder  unique name of this process's run.
  /// \param lifetime  time that the lease lasts; equal in all processes.
  /// \param margin  allowance for clock speed and for the way to the engine.
  order_guard(std::string holder, duration lifetime, duration margin);

  /// \brief Notes the record as read from the store.
  /// \param now  after the read was answered.
  void Observe(const std::optional<order_lease>& record, time_point now);
  /// \returns the record to write under the version that was observed: a
  /// renewal, or a takeover once the old lease has expired; nothing while
  /// another holder's lease may be valid.
  std::optional<order_lease> NextRecord(time_point now) const;
  /// \brief Notes that the store accepted \p record.
  /// \param sent  before the write was sent.
  void RecordWritten(const order_lease& record, time_point sent);

  /// \returns whether an order that takes at most \p order_time ends within the
  /// lease.
  bool MaySend(time_point now, duration order_time) const;
  /// The fencing number to put into orders; meaningful while MaySend holds.
  std::uint64_t fencing_token() const {
    return observed_ ? observed_->fencing_token : 0;
  }

 private:
  std::string holder_;
  duration lifetime_;
  duration margin_;
  std::optional<order_lease> observed_;
  time_point observed_since_;
  std::optional<time_point> valid_until_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_ORDER_GUARD_H_
