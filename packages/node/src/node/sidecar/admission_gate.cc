#include "src/node/sidecar/admission_gate.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;

/// A coroutine that waits for a decision. The timer runs on the executor of the
/// coroutine.
struct admission_gate::waiter {
  explicit waiter(const asio::any_io_executor& executor) : timer(executor) {}
  asio::steady_timer timer;
  std::optional<result<void>> answer;
};

slot::~slot() {
  if (gate_ != nullptr) {
    gate_->Release(id_);
  }
}

slot::slot(slot&& other) noexcept
    : gate_(std::exchange(other.gate_, nullptr)), id_(other.id_) {}

admission_gate::admission_gate(admission_policy policy, const clock& time)
    : clock_(&time), policy_(std::move(policy)) {}

admission_gate::~admission_gate() = default;

asio::awaitable<result<slot>> admission_gate::Admit(online_request request) {
  auto request_waiter =
      std::make_shared<waiter>(co_await asio::this_coro::executor);
  request_id id = 0;
  {
    const std::lock_guard lock(mutex_);
    id = next_id_++;
    waiters_.emplace(id, request_waiter);
    const time_point now = clock_->Now();
    if (request.isolated) {
      Apply(std::visit(
          [&](auto& policy) { return policy.BeginIsolation(id, now); },
          policy_));
    } else {
      const online_decision decision = std::visit(
          [&](auto& policy) {
            return policy.SubmitOnline(id, request.account, request.weight,
                                       request.deadline, now);
          },
          policy_);
      if (const auto* preempting = std::get_if<start_and_preempt>(&decision)) {
        Preempt(preempting->batch_id);
        Resolve(id, {});
      } else if (std::holds_alternative<start_request>(decision)) {
        Resolve(id, {});
      } else if (const auto* refused = std::get_if<refuse_request>(&decision)) {
        Resolve(id, Fail(refused->cause));
      }
    }
  }
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (request_waiter->answer) {
        break;
      }
      request_waiter->timer.expires_after(request.deadline - clock_->Now());
    }
    boost::system::error_code ignored;
    co_await request_waiter->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    ExpireQueued();
    const std::lock_guard lock(mutex_);
    if (!request_waiter->answer && clock_->Now() >= request.deadline) {
      // An isolated request that did not start before its deadline is cancelled
      // here.
      Apply(std::visit(
          [&](auto& policy) { return policy.Cancel(id, clock_->Now()); },
          policy_));
      Resolve(id, Fail(error::Make(error_kind::timeout,
                                   "no slot before the deadline")
                           .WithOutcome(outcome::not_run)));
    }
  }
  if (!*request_waiter->answer) {
    co_return Fail(request_waiter->answer->error());
  }
  co_return slot(*this, id);
}

std::optional<slot> admission_gate::OfferBatch(std::function<void()> preempt) {
  const std::lock_guard lock(mutex_);
  const request_id id = next_id_++;
  if (!std::visit(
          [&](auto& policy) { return policy.OfferBatch(id, clock_->Now()); },
          policy_)) {
    return std::nullopt;
  }
  preempt_callbacks_.emplace(id, std::move(preempt));
  return std::make_optional<slot>(*this, id);
}

void admission_gate::ObserveStep(duration step_time, int running, int waiting) {
  const std::lock_guard lock(mutex_);
  Apply(std::visit(
      [&](auto& policy) {
        return policy.ObserveStep(step_time, running, clock_->Now(), waiting);
      },
      policy_));
}

void admission_gate::SetBatchWeight(double weight) {
  const std::lock_guard lock(mutex_);
  std::visit([&](auto& policy) { return policy.SetBatchWeight(weight); },
             policy_);
}

void admission_gate::BeginDrain() {
  const std::lock_guard lock(mutex_);
  Apply(std::visit(
      [&](auto& policy) { return policy.BeginDrain(clock_->Now()); }, policy_));
}

gate_report admission_gate::Report() const {
  const std::lock_guard lock(mutex_);
  return std::visit(
      [](const auto& policy) {
        return gate_report{
            policy.free_online_slots(), static_cast<int>(policy.queue_length()),
            policy.online_running(),    policy.batch_running(),
            policy.capacity(),          policy.drained()};
      },
      policy_);
}

void admission_gate::Release(request_id id) {
  const std::lock_guard lock(mutex_);
  preempt_callbacks_.erase(id);
  // The policy has already removed a preempted batch item and ignores its id.
  Apply(std::visit(
      [&](auto& policy) { return policy.Finished(id, clock_->Now()); },
      policy_));
}

void admission_gate::ExpireQueued() {
  const std::lock_guard lock(mutex_);
  Apply(std::visit([&](auto& policy) { return policy.Tick(clock_->Now()); },
                   policy_));
}

void admission_gate::Apply(const admission_events& events) {
  for (const admission_event& event : events) {
    if (const auto* started = std::get_if<start_request>(&event)) {
      Resolve(started->id, {});
    } else if (const auto* preempted = std::get_if<preempt_batch>(&event)) {
      Preempt(preempted->id);
    } else if (const auto* refused = std::get_if<refuse_request>(&event)) {
      Resolve(refused->id, Fail(refused->cause));
    }
  }
}

void admission_gate::Resolve(request_id id, result<void> answer) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) {
    return;
  }
  std::shared_ptr<waiter> resolved = std::move(found->second);
  waiters_.erase(found);
  resolved->answer = std::move(answer);
  asio::post(resolved->timer.get_executor(),
             [resolved] { resolved->timer.cancel(); });
}

void admission_gate::Preempt(request_id id) {
  const auto found = preempt_callbacks_.find(id);
  if (found == preempt_callbacks_.end()) {
    return;
  }
  const std::function<void()> preempt = std::move(found->second);
  preempt_callbacks_.erase(found);
  preempt();
}

}  // namespace cardamomyard
