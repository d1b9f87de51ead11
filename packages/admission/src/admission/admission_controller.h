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

/// \brief The only admitter of one backend server (rule 3).
///
/// Holds that while an online request is queued no batch item runs. The caller
/// carries out every returned event. Not thread-safe.
class admission_controller {
 public:
  struct options {
    capacity_estimator::options capacity;
    std::size_t queue_limit = 64;
    double batch_weight = 0.5;  ///< `balance.batch_weight`, 0..1.
  };

  explicit admission_controller(options chosen);

  /// \brief Decides on an online request.
  /// \param weight  share of the account in the queue, above 0.
  /// \param deadline  a request still queued then is refused as `timeout` with
  /// `not_run`.
  online_decision SubmitOnline(request_id id,
                               const std::string& account,
                               double weight,
                               time_point deadline,
                               time_point now);
  /// \brief Starts a batch item while slots beyond the reserve are free and
  /// the predicted step time stays within what `batch_weight` allows.
  /// \returns whether the item starts now; otherwise offer it again later.
  bool OfferBatch(request_id id, time_point now);
  /// \brief Ends a running request, however it ended. Ignores others.
  admission_events Finished(request_id id, time_point now);
  /// \brief Removes a request wherever it is. The caller cancels a running one
  /// on the engine itself.
  admission_events Cancel(request_id id, time_point now);
  /// \brief Refuses queued requests whose deadline has passed.
  admission_events Tick(time_point now);
  /// \brief Learns from one step of the engine. When the capacity has shrunk
  /// below what runs, batch items are preempted.
  admission_events ObserveStep(duration step_time,
                               int running,
                               time_point now,
                               int waiting = 0);

  /// \brief Prepares to run \p id alone: refuses new and queued requests,
  /// preempts batch items and waits for the running online requests. The event
  /// that starts \p id comes now or from a later call; the mode ends with
  /// Finished or Cancel of \p id.
  admission_events BeginIsolation(request_id id, time_point now);
  /// \brief Refuses new and queued requests for good; running ones finish.
  admission_events BeginDrain(time_point now);
  /// \brief Applies a changed `balance.batch_weight`.
  void SetBatchWeight(double batch_weight);

  bool draining() const { return draining_; }
  /// Whether the server drains and nothing runs any more (rule 12).
  bool drained() const { return draining_ && running() == 0; }
  bool isolating() const { return isolated_.has_value(); }
  int capacity() const { return capacity_.capacity(); }
  int online_running() const { return static_cast<int>(online_.size()); }
  int batch_running() const { return static_cast<int>(batch_.size()); }
  int running() const { return online_running() + batch_running(); }
  std::size_t queue_length() const { return queue_.size(); }
  /// Slots that online requests would get at once, for the heartbeat.
  int free_online_slots() const;
  /// Slots that batch items leave free.
  int Reserve(time_point now) const;

 private:
  bool SlowsOnlineTooMuch() const;
  int FreeSlots() const { return capacity() - running(); }
  error Overloaded() const;
  void StartOnline(request_id id, time_point now);
  request_id PreemptLatest();
  bool EndRunning(request_id id, time_point now);
  void Advance(time_point now, admission_events& events);
  void RefuseQueued(const error& cause, admission_events& events);
  void PreemptAll(admission_events& events);

  options options_;
  capacity_estimator capacity_;
  fair_queue queue_;
  internal::arrival_rate arrivals_;
  std::unordered_map<request_id, time_point> online_;
  // In the order of their starts: the latest loses the least work.
  std::list<request_id> batch_order_;
  std::unordered_map<request_id, std::list<request_id>::iterator> batch_;
  std::optional<request_id> isolated_;
  bool isolated_started_ = false;
  bool draining_ = false;
  int steps_ = 0;  // Observed steps, up to the number that matters.
  double mean_service_seconds_ = 1;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_ADMISSION_CONTROLLER_H_
