#ifndef CARDAMOMYARD_ADMISSION_ADMISSION_CONTROLLER_H_
#define CARDAMOMYARD_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "src/admission/admission_event.h"
#include "src/admission/arrival_rate.h"
#include "src/admission/capacity_estimator.h"
#include "src/admission/fair_queue.h"
#include "src/base/clock.h"

namespace cardamomyard {

/// \brief Admission control of one backend server; all requests pass it
/// (rule 3).
///
/// Invariant: no batch item runs while an online request is queued. The caller
/// must carry out every returned event. Not thread-safe.
class admission_controller {
 public:
  struct options {
    capacity_estimator::options capacity;
    std::size_t queue_limit = 64;
    double batch_weight = 0.5;  ///< `balance.batch_weight`, 0..1.
  };

  explicit admission_controller(options chosen);

  /// \brief Starts, queues or refuses an online request.
  /// \param weight  fair queueing weight of the account, above 0.
  /// \param deadline  time at which a request that is still queued is refused
  /// as `timeout` with `not_run`.
  online_decision SubmitOnline(request_id id,
                               const std::string& account,
                               double weight,
                               time_point deadline,
                               time_point now);
  /// \brief Starts a batch item if more slots are free than are reserved and
  /// the predicted step time stays within the limit set by `batch_weight`.
  /// \returns whether the item starts now; otherwise the caller offers it again
  /// later.
  bool OfferBatch(request_id id, time_point now);
  /// \brief Releases the slot of a request that ended with any outcome. Ignores
  /// requests that are not running.
  admission_events Finished(request_id id, time_point now);
  /// \brief Removes a queued or running request. The caller cancels a running
  /// one on the engine.
  admission_events Cancel(request_id id, time_point now);
  /// \brief Refuses queued requests whose deadline has passed.
  admission_events Tick(time_point now);
  /// \brief Updates the capacity estimate from one engine step. Preempts batch
  /// items while more requests run than the capacity allows.
  admission_events ObserveStep(duration step_time,
                               int running,
                               time_point now,
                               int waiting = 0);

  /// \brief Prepares to run \p id alone: refuses new and queued requests,
  /// preempts batch items and waits for the running online requests.
  ///
  /// The event that starts \p id is returned by this or a later call. Isolation
  /// ends when \p id is finished or cancelled.
  admission_events BeginIsolation(request_id id, time_point now);
  /// \brief Refuses new and queued requests from now on; running ones finish.
  admission_events BeginDrain(time_point now);
  /// \brief Applies a changed `balance.batch_weight`.
  void SetBatchWeight(double batch_weight);

  bool draining() const { return draining_; }
  /// Whether the server is draining and no request runs any more (rule 12).
  bool drained() const { return draining_ && running() == 0; }
  bool isolating() const { return isolated_.has_value(); }
  int capacity() const { return capacity_.capacity(); }
  int online_running() const { return static_cast<int>(online_.size()); }
  int batch_running() const { return static_cast<int>(batch_.size()); }
  int running() const { return online_running() + batch_running(); }
  std::size_t queue_length() const { return queue_.size(); }
  /// Slots that online requests can take now, if needed by preempting batch
  /// items; reported in the heartbeat.
  int free_online_slots() const;
  /// Slots that batch items must leave free for online arrivals.
  int ReservedSlots(time_point now) const;

 private:
  bool ExceedsSlowdownLimit() const;
  int FreeSlots() const { return capacity() - running(); }
  error OverloadedError() const;
  void StartOnline(request_id id, time_point now);
  request_id PreemptLatest();
  bool RemoveRunning(request_id id, time_point now);
  void AdvanceQueue(time_point now, admission_events& events);
  void RefuseQueued(const error& cause, admission_events& events);
  void PreemptAllBatch(admission_events& events);

  options options_;
  capacity_estimator capacity_;
  fair_queue queue_;
  internal::arrival_rate arrivals_;
  std::unordered_map<request_id, time_point> online_;
  // In start order; preempting the most recently started loses the least work.
  std::list<request_id> batch_order_;
  std::unordered_map<request_id, std::list<request_id>::iterator> batch_;
  std::optional<request_id> isolated_;
  bool isolated_started_ = false;
  bool draining_ = false;
  // Engine steps observed, capped where more make no difference.
  int observed_steps_ = 0;
  double mean_service_seconds_ = 1;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_ADMISSION_CONTROLLER_H_
