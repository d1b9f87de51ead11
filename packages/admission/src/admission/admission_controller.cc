#include "src/admission/admission_controller.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cardamomyard {
namespace {

// Slots are reserved for the online requests expected within the duration of a
// preemption: one engine step until it takes effect, and the cancel call.
constexpr double kReserveSeconds = 0.1;
// At batch_weight 0 the reserve covers twice the mean arrival rate.
constexpr double kReserveFactor = 2;
// Maximum ratio of the predicted step time with one more batch item to that
// without batch, at batch_weight 0. A limit of 1.1 gave a p99 time to first
// token of 1.11 to 1.16 times that without batch, because items keep running
// while online requests end. The limit is divided by 1 - batch_weight, so there
// is none at 1.
constexpr double kSlowdownLimit = 1.05;
constexpr double kServiceTimeGain = 0.05;

}  // namespace

admission_controller::admission_controller(options chosen)
    : options_(chosen), capacity_(chosen.capacity) {
  SetBatchWeight(chosen.batch_weight);
}

void admission_controller::SetBatchWeight(double batch_weight) {
  assert(batch_weight >= 0 && batch_weight <= 1 &&
         "batch_weight must be between 0 and 1");
  options_.batch_weight = batch_weight;
}

int admission_controller::ReservedSlots(time_point now) const {
  const double expected =
      arrivals_.PerSecond(now) * kReserveSeconds * kReserveFactor;
  const double reserve = std::ceil((1 - options_.batch_weight) * expected);
  // One slot is never reserved, or batch would starve on a busy server.
  return static_cast<int>(std::min(reserve, capacity() - 1.0));
}

int admission_controller::free_online_slots() const {
  if (draining_ || isolated_) {
    return 0;
  }
  return std::max(0, capacity() - online_running());
}

error admission_controller::OverloadedError() const {
  // Expected time until the slots have served the queue and one more request.
  const double seconds = mean_service_seconds_ *
                         static_cast<double>(queue_.size() + 1) / capacity();
  const auto delay = std::chrono::milliseconds(
      static_cast<std::int64_t>(std::clamp(seconds, 0.05, 30.0) * 1000));
  return error::Make(error_kind::overloaded,
                     "the backend server has no free slot")
      .WithRetryAfter(delay);
}

void admission_controller::StartOnline(request_id id, time_point now) {
  online_.emplace(id, now);
}

request_id admission_controller::PreemptLatest() {
  const request_id id = batch_order_.back();
  batch_order_.pop_back();
  batch_.erase(id);
  return id;
}

online_decision admission_controller::SubmitOnline(request_id id,
                                                   const std::string& account,
                                                   double weight,
                                                   time_point deadline,
                                                   time_point now) {
  if (draining_) {
    return refuse_request{id, error::Make(error_kind::draining,
                                          "the backend server is draining")};
  }
  if (isolated_) {
    return refuse_request{id, OverloadedError()};
  }
  if (deadline <= now) {
    return refuse_request{
        id, error::Make(error_kind::timeout, "the deadline has passed")
                .WithOutcome(outcome::not_run)};
  }
  arrivals_.Add(now);
  if (queue_.empty()) {
    if (FreeSlots() > 0) {
      StartOnline(id, now);
      return start_request{id};
    }
    if (!batch_.empty() && online_running() < capacity()) {
      StartOnline(id, now);
      return start_and_preempt{PreemptLatest()};
    }
  }
  if (queue_.size() >= options_.queue_limit) {
    return refuse_request{id, OverloadedError()};
  }
  queue_.Push(id, account, weight, deadline);
  return request_queued{};
}

bool admission_controller::ExceedsSlowdownLimit() const {
  if (options_.batch_weight >= 1) {
    return false;
  }
  const auto slowdown = capacity_.Slowdown(online_running(), running() + 1);
  if (!slowdown) {
    // Until the step time is fitted, batch grows by one item every four steps.
    // A server that is full from the start would always run the same number of
    // requests, which allows no fit.
    return batch_running() > observed_steps_ / 4;
  }
  return *slowdown > kSlowdownLimit / (1 - options_.batch_weight);
}

bool admission_controller::OfferBatch(request_id id, time_point now) {
  if (draining_ || isolated_ || !queue_.empty() ||
      FreeSlots() <= ReservedSlots(now) || ExceedsSlowdownLimit()) {
    return false;
  }
  batch_order_.push_back(id);
  batch_.emplace(id, std::prev(batch_order_.end()));
  return true;
}

bool admission_controller::RemoveRunning(request_id id, time_point now) {
  if (const auto found = online_.find(id); found != online_.end()) {
    const double seconds =
        std::chrono::duration<double>(now - found->second).count();
    mean_service_seconds_ +=
        kServiceTimeGain * (seconds - mean_service_seconds_);
    online_.erase(found);
  } else if (const auto item = batch_.find(id); item != batch_.end()) {
    batch_order_.erase(item->second);
    batch_.erase(item);
  } else {
    return false;
  }
  if (isolated_ == id) {
    isolated_.reset();
    isolated_started_ = false;
  }
  return true;
}

void admission_controller::AdvanceQueue(time_point now,
                                        admission_events& events) {
  for (const request_id id : queue_.Expire(now)) {
    events.emplace_back(refuse_request{
        id, error::Make(error_kind::timeout,
                        "the deadline passed while the request was queued")
                .WithOutcome(outcome::not_run)});
  }
  if (isolated_) {
    if (!isolated_started_ && running() == 0) {
      isolated_started_ = true;
      StartOnline(*isolated_, now);
      events.emplace_back(start_request{*isolated_});
    }
    return;
  }
  while (!queue_.empty() && online_running() < capacity()) {
    if (FreeSlots() <= 0) {
      events.emplace_back(preempt_batch{PreemptLatest()});
    }
    const request_id id = *queue_.Pop();
    StartOnline(id, now);
    events.emplace_back(start_request{id});
  }
}

admission_events admission_controller::Finished(request_id id, time_point now) {
  admission_events events;
  RemoveRunning(id, now);
  AdvanceQueue(now, events);
  return events;
}

admission_events admission_controller::Cancel(request_id id, time_point now) {
  admission_events events;
  if (!RemoveRunning(id, now) && !queue_.Remove(id) && isolated_ == id) {
    isolated_.reset();
  }
  AdvanceQueue(now, events);
  return events;
}

admission_events admission_controller::Tick(time_point now) {
  admission_events events;
  AdvanceQueue(now, events);
  return events;
}

admission_events admission_controller::ObserveStep(duration step_time,
                                                   int running,
                                                   time_point now,
                                                   int waiting) {
  admission_events events;
  if (!isolated_) {
    capacity_.ObserveStep(step_time, running, waiting);
    observed_steps_ = std::min(observed_steps_ + 1, 4 * options_.capacity.max);
  }
  while (FreeSlots() < 0 && !batch_.empty()) {
    events.emplace_back(preempt_batch{PreemptLatest()});
  }
  AdvanceQueue(now, events);
  return events;
}

void admission_controller::RefuseQueued(const error& cause,
                                        admission_events& events) {
  for (const request_id id : queue_.Clear()) {
    events.emplace_back(refuse_request{id, cause});
  }
}

void admission_controller::PreemptAllBatch(admission_events& events) {
  while (!batch_.empty()) {
    events.emplace_back(preempt_batch{PreemptLatest()});
  }
}

admission_events admission_controller::BeginIsolation(request_id id,
                                                      time_point now) {
  admission_events events;
  if (draining_) {
    events.emplace_back(refuse_request{
        id,
        error::Make(error_kind::draining, "the backend server is draining")});
    return events;
  }
  if (isolated_) {
    events.emplace_back(refuse_request{id, OverloadedError()});
    return events;
  }
  isolated_ = id;
  RefuseQueued(OverloadedError(), events);
  PreemptAllBatch(events);
  AdvanceQueue(now, events);
  return events;
}

admission_events admission_controller::BeginDrain(time_point now) {
  admission_events events;
  draining_ = true;
  const error cause =
      error::Make(error_kind::draining, "the backend server is draining");
  if (isolated_ && !isolated_started_) {
    events.emplace_back(refuse_request{*isolated_, cause});
    isolated_.reset();
  }
  RefuseQueued(cause, events);
  AdvanceQueue(now, events);
  return events;
}

}  // namespace cardamomyard
