#ifndef CARDAMOMYARD_ADMISSION_FIRST_COME_ADMISSION_H_
#define CARDAMOMYARD_ADMISSION_FIRST_COME_ADMISSION_H_

#include <string>
#include <unordered_set>

#include "src/admission/admission_event.h"
#include "src/admission/naive_admission.h"
#include "src/base/clock.h"

namespace cardamomyard {

/// \brief First come, first served baseline for measurements: naive_admission
/// with the interface of admission_controller.
///
/// Batch items take free slots like online requests and are never preempted.
/// Suspect requests are not isolated. A batch item that gets no slot is not
/// queued; its caller offers it again.
class first_come_admission {
 public:
  explicit first_come_admission(int capacity)
      : slots_(capacity), capacity_(capacity) {}

  online_decision SubmitOnline(request_id id,
                               const std::string& account,
                               double weight,
                               time_point deadline,
                               time_point now);
  bool OfferBatch(request_id id, time_point now);
  admission_events Finished(request_id id, time_point now);
  admission_events Cancel(request_id id, time_point now);
  admission_events Tick(time_point /*now*/) { return {}; }
  admission_events ObserveStep(duration /*step_time*/,
                               int /*running*/,
                               time_point /*now*/,
                               int /*waiting*/ = 0) {
    return {};
  }
  admission_events BeginIsolation(request_id id, time_point now);
  admission_events BeginDrain(time_point now);
  void SetBatchWeight(double /*batch_weight*/) {}

  bool drained() const { return draining_ && slots_.running() == 0; }
  int capacity() const { return capacity_; }
  int online_running() const { return slots_.running() - batch_running(); }
  int batch_running() const { return static_cast<int>(batch_.size()); }
  std::size_t queue_length() const { return queued_.size(); }
  int free_online_slots() const { return capacity_ - slots_.running(); }

 private:
  admission_events StartNextQueued();

  naive_admission slots_;
  int capacity_;
  bool draining_ = false;
  std::unordered_set<request_id> online_;
  std::unordered_set<request_id> batch_;
  /// Queued requests that were not cancelled. The queue in `slots_` still holds
  /// cancelled ones, which are skipped.
  std::unordered_set<request_id> queued_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_FIRST_COME_ADMISSION_H_
