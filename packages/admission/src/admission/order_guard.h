#ifndef CARDAMOMYARD_ADMISSION_ORDER_GUARD_H_
#define CARDAMOMYARD_ADMISSION_ORDER_GUARD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/base/clock.h"

namespace cardamomyard {

/// \brief Record of the object `engine/<backend>`, the lease to send orders to
/// an engine.
///
/// An order is a control command, such as loading a model or an adapter. The
/// record holds no time: observers measure the lease with their own clocks.
struct order_lease {
  std::string holder;
  std::uint64_t fencing_token = 0;  ///< Incremented by 1 at each takeover.
  std::uint64_t renewal = 0;        ///< Incremented by 1 at each renewal.

  friend bool operator==(const order_lease&, const order_lease&) = default;
};

/// \brief Prevents a former lease holder from sending orders to an engine that
/// ignores fencing tokens.
///
/// The holder measures the lease from before it sent the write, an observer
/// from after it read the record. The holder therefore stops first, provided
/// that their clocks run at nearly the same rate.
class order_guard {
 public:
  /// \param holder  name of this run of the process, unique in the fleet.
  /// \param lifetime  duration of the lease; equal in all processes.
  /// \param margin  allowance for clock drift and for network delay to the
  /// engine.
  order_guard(std::string holder, duration lifetime, duration margin);

  /// \brief Updates the observed record from a read of the store.
  /// \param now  a time after the read was answered.
  void Observe(const std::optional<order_lease>& record, time_point now);
  /// \returns the record to write, conditional on the observed version: a
  /// renewal, or a takeover once the old lease has expired; nothing while
  /// another holder's lease may be valid.
  std::optional<order_lease> NextRecord(time_point now) const;
  /// \brief Records that the store accepted \p record.
  /// \param sent  a time before the write was sent.
  void RecordWritten(const order_lease& record, time_point sent);

  /// \returns whether an order that takes at most \p order_time ends before the
  /// lease expires.
  bool MaySend(time_point now, duration order_time) const;
  /// Fencing token for orders; valid only while MaySend returns true.
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
