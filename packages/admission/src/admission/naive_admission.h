#ifndef CARDAMOMYARD_ADMISSION_NAIVE_ADMISSION_H_
#define CARDAMOMYARD_ADMISSION_NAIVE_ADMISSION_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "src/admission/fair_queue.h"

namespace cardamomyard {

/// \brief Naive baseline for measurements: a fixed number of slots, first come,
/// first served for online and batch requests alike, no preemption.
class naive_admission {
 public:
  explicit naive_admission(int capacity) : capacity_(capacity) {}

  /// \returns whether the request starts now; otherwise it is queued.
  bool Submit(request_id id);
  /// \brief Releases a slot.
  /// \returns the queued request that starts in it, if any.
  std::optional<request_id> ReleaseSlot();

  int running() const { return running_; }
  std::size_t queue_length() const { return queue_.size(); }

 private:
  int capacity_;
  int running_ = 0;
  std::deque<request_id> queue_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_NAIVE_ADMISSION_H_
