#ifndef CARDAMOMYARD_NODE_SIDECAR_ADMISSION_GATE_H_
#define CARDAMOMYARD_NODE_SIDECAR_ADMISSION_GATE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cardamomyard/admission.h"
#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief An online request that asks for a slot.
struct online_request {
  std::string account;
  double weight = 1;
  time_point deadline;
  /// Run it with no other request on the backend server. \sa crash_suspects
  bool isolated = false;
};

/// \brief Occupancy of the slots of a sidecar.
struct gate_report {
  int free_online_slots = 0;
  int queue_length = 0;
  int online_running = 0;
  int batch_running = 0;
  int capacity = 0;
  bool drained = false;
};

class admission_gate;

/// \brief A slot of the backend server, released on destruction.
class slot {
 public:
  slot(admission_gate& gate, request_id id) : gate_(&gate), id_(id) {}
  ~slot();
  slot(slot&& other) noexcept;
  slot& operator=(slot&&) = delete;
  slot(const slot&) = delete;
  slot& operator=(const slot&) = delete;

  request_id id() const { return id_; }

 private:
  admission_gate* gate_;
  request_id id_;
};

/// \brief Makes an admission_policy thread-safe and lets coroutines wait for
/// its decisions.
class admission_gate {
 public:
  admission_gate(admission_policy policy, const clock& time);
  ~admission_gate();
  admission_gate(const admission_gate&) = delete;
  admission_gate& operator=(const admission_gate&) = delete;

  /// Waits for a slot. \returns the slot, or an error with outcome `not_run`.
  boost::asio::awaitable<result<slot>> Admit(online_request request);

  /// \param preempt  called at most once, when the slot must be released
  /// immediately. It may run on any thread and must not call the gate.
  /// \returns a slot for a batch item, or nothing while online work needs all
  /// slots.
  std::optional<slot> OfferBatch(std::function<void()> preempt);

  void ObserveStep(duration step_time, int running, int waiting);
  void SetBatchWeight(double weight);
  void BeginDrain();
  gate_report Report() const;

 private:
  friend class slot;
  struct waiter;

  void Release(request_id id);
  void Apply(const admission_events& events);
  void Resolve(request_id id, result<void> answer);
  void Preempt(request_id id);
  void ExpireQueued();

  const clock* clock_;
  mutable std::mutex mutex_;
  admission_policy policy_;
  request_id next_id_ = 1;
  std::unordered_map<request_id, std::shared_ptr<waiter>> waiters_;
  std::unordered_map<request_id, std::function<void()>> preempt_callbacks_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_ADMISSION_GATE_H_
