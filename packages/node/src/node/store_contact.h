#ifndef CARDAMOMYARD_NODE_STORE_CONTACT_H_
#define CARDAMOMYARD_NODE_STORE_CONTACT_H_

#include <chrono>
#include <optional>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief What this process itself found out about the store. Only reads of
/// both the configuration head and the share table count, since contact
/// permits the use of both.
class store_contact {
 public:
  void RecordAttempt(time_point now) {
    if (!pending_) {
      pending_ = now;
    }
  }
  /// \param sent  when the older of the reads was sent.
  void RecordSuccess(time_point sent) {
    pending_.reset();
    failed_ = false;
    read_ = sent;
  }
  void RecordFailure() {
    pending_.reset();
    failed_ = true;
  }

  /// \returns the age of the last read; nothing when there was none.
  std::optional<std::chrono::milliseconds> Age(time_point now) const {
    if (!read_) {
      return std::nullopt;
    }
    // Rounded up: an age may be told too high but never too low.
    return std::chrono::ceil<std::chrono::milliseconds>(now - *read_);
  }
  bool Unreachable(time_point now) const {
    // Calls to a store that drops packets take many seconds to fail.
    constexpr std::chrono::seconds kTooLong{1};
    return failed_ || (pending_ && now - *pending_ > kTooLong);
  }
  /// \returns whether the last read is so old that evidence is needed soon.
  bool Stale(time_point now) const {
    constexpr std::chrono::milliseconds kStale{1500};
    return !read_ || now - *read_ > kStale;
  }

 private:
  std::optional<time_point> read_;
  std::optional<time_point> pending_;
  bool failed_ = false;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_STORE_CONTACT_H_
