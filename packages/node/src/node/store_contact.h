#ifndef CARDAMOMYARD_NODE_STORE_CONTACT_H_
#define CARDAMOMYARD_NODE_STORE_CONTACT_H_

#include <chrono>
#include <optional>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Records this process's own contact with the object API.
///
/// A successful read of both the configuration head and the share table counts
/// as contact, because contact permits the use of both.
class store_contact {
 public:
  void RecordAttempt(time_point now) {
    if (!pending_since_) {
      pending_since_ = now;
    }
  }
  /// \param sent  when the earlier of the two reads was sent.
  void RecordSuccess(time_point sent) {
    pending_since_.reset();
    failed_ = false;
    last_read_ = sent;
  }
  void RecordFailure() {
    pending_since_.reset();
    failed_ = true;
  }

  /// \returns the age of the last successful read; nothing when there was none.
  std::optional<std::chrono::milliseconds> Age(time_point now) const {
    if (!last_read_) {
      return std::nullopt;
    }
    // Rounded up: a reported age may be too high but never too low.
    return std::chrono::ceil<std::chrono::milliseconds>(now - *last_read_);
  }
  bool Unreachable(time_point now) const {
    // A call to a store that drops packets fails only after many seconds.
    constexpr std::chrono::seconds kMaxPendingTime{1};
    return failed_ ||
           (pending_since_ && now - *pending_since_ > kMaxPendingTime);
  }
  /// \returns whether the last read is so old that new evidence of contact is
  /// needed soon.
  bool Stale(time_point now) const {
    constexpr std::chrono::milliseconds kStaleAge{1500};
    return !last_read_ || now - *last_read_ > kStaleAge;
  }

 private:
  std::optional<time_point> last_read_;
  std::optional<time_point> pending_since_;
  bool failed_ = false;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_STORE_CONTACT_H_
