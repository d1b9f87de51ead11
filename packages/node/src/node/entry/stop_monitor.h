#ifndef CARDAMOMYARD_NODE_ENTRY_STOP_MONITOR_H_
#define CARDAMOMYARD_NODE_ENTRY_STOP_MONITOR_H_

#include <atomic>
#include <mutex>
#include <optional>

#include "cardamomyard/base.h"
#include "cardamomyard/limits.h"

namespace cardamomyard {

/// \brief The planned stop of an entry host and what it did to requests. Safe
/// from several threads.
class stop_monitor {
 public:
  void Begin(const stop_schedule& schedule) {
    const std::lock_guard lock(mutex_);
    schedule_ = schedule;
  }

  /// \returns whether a request that lasts until \p deadline at most may be
  /// taken at \p now; counts those that may not.
  bool MayTake(time_point now, time_point deadline) {
    const auto schedule = Get();
    const bool taken = !schedule || schedule->MayTake(now, deadline);
    refused_ += taken ? 0 : 1;
    return taken;
  }

  /// \returns until when a request may run.
  time_point Limit(time_point deadline) const {
    const auto schedule = Get();
    return schedule ? schedule->LimitAnswer(deadline) : deadline;
  }

  /// \returns why a request that runs at \p now must end, or nothing.
  std::optional<error> Check(time_point now) const {
    if (Limit(now) == now) {
      return std::nullopt;
    }
    return error::Make(error_kind::timeout, "this host stops");
  }

  void RecordEnded() { ++ended_; }
  int refused() const { return refused_; }
  int ended() const { return ended_; }

 private:
  std::optional<stop_schedule> Get() const {
    const std::lock_guard lock(mutex_);
    return schedule_;
  }

  mutable std::mutex mutex_;
  std::optional<stop_schedule> schedule_;
  std::atomic<int> refused_{0};
  std::atomic<int> ended_{0};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_STOP_MONITOR_H_
