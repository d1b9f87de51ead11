#include "src/node/sidecar/group_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/batch_keys.h"
#include "src/node/job_updates.h"
#include "src/node/stored_record.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr part_log kLog("batch");
constexpr std::size_t kNonceBytes = 8;
constexpr std::size_t kMaxStartsAtOnce = 16;
constexpr std::chrono::seconds kCommitInterval{2};
constexpr std::size_t kCommitThreshold = 200;
// A third of the lease duration, so that two renewals may fail.
constexpr std::chrono::seconds kRenewInterval{5};
constexpr std::chrono::milliseconds kStoreRetryInterval{250};
// Upper limit of the time for which a free slot stays unused.
constexpr std::chrono::milliseconds kSlotPollInterval{10};
constexpr std::chrono::milliseconds kPollInterval{100};
// Time for running items to finish during a drain. An item that is stopped
// is started again by another sidecar from its first token.
constexpr std::chrono::seconds kDrainGrace{5};
constexpr std::chrono::seconds kIsolationTimeout{30};
// Delay after a failed attempt: another isolated run may be in progress, and
// its end is not signalled.
constexpr std::chrono::milliseconds kIsolationRetryDelay{250};
constexpr int kMaxCountAttempts = 40;

}  // namespace

group_session::group_session(batch_parts& parts,
                             const asio::any_io_executor& executor,
                             claimed_group claimed,
                             std::atomic<std::int64_t>& tokens)
    : parts_(&parts),
      executor_(executor),
      job_(std::move(claimed.job)),
      group_(claimed.group),
      key_(batch_keys::Group(job_.id, group_)),
      items_(std::move(claimed.items)),
      record_(std::move(claimed.record)),
      version_(claimed.version),
      lease_{record_.holder, record_.fence},
      runner_(parts, executor),
      pending_(job_.id, group_),
      tokens_(&tokens),
      timer_(executor),
      last_commit_(parts.context->time().Now()),
      last_job_check_(last_commit_) {}

asio::awaitable<void> group_session::Run() {
  while (true) {
    if (end_reason_ == end_reason::none && record_.finished()) {
      end_reason_ = end_reason::done;
    }
    if (end_reason_ == end_reason::none && Cancelled()) {
      end_reason_ = end_reason::cancelled;
    }
    if (end_reason_ == end_reason::none && !LeaseValid() && !committing_) {
      kLog.Info("The lease of a group has expired.", {{"group", key_}});
      end_reason_ = end_reason::lost;
    }
    if (end_reason_ == end_reason::lost ||
        end_reason_ == end_reason::cancelled) {
      StopRunningItems();
    }
    const bool draining = CheckDrain();
    if (end_reason_ == end_reason::none && !draining) {
      co_await StartItems();
    }
    if (CommitDue()) {
      committing_ = true;
      asio::co_spawn(
          executor_,
          [self = shared_from_this()]() -> asio::awaitable<void> {
            co_await self->CommitNow();
            self->committing_ = false;
            self->Wake();
          },
          kEndOnException);
    }
    if (running_.empty() && !committing_) {
      const bool results_outstanding =
          !pending_.empty() && end_reason_ != end_reason::lost && LeaseValid();
      if (!results_outstanding && draining && end_reason_ == end_reason::none &&
          !record_.finished()) {
        co_await ReleaseGroup();
      }
      if (!results_outstanding && end_reason_ != end_reason::none) {
        break;
      }
    }
    co_await Wait();
  }
  co_await CountFinishedGroup();
}

bool group_session::Cancelled() const {
  return parts_->cancelled->Contains(
      batch_keys::Cancelled(job_.account, job_.id),
      parts_->context->time().Now());
}

bool group_session::CheckDrain() {
  const std::optional<error> refusal = parts_->refusal();
  if (!refusal || refusal->kind() != error_kind::draining) {
    return false;
  }
  const time_point now = parts_->context->time().Now();
  drain_start_ = drain_start_.value_or(now);
  if (now - *drain_start_ > kDrainGrace) {
    StopRunningItems();
  }
  return true;
}

bool group_session::LeaseValid() const {
  return MayStart(record_, lease_, parts_->context->time().WallNow());
}

std::vector<std::size_t> group_session::BusyItems() const {
  std::vector<std::size_t> busy = pending_.Items();
  for (const auto& [item, run] : running_) {
    busy.push_back(item);
  }
  return busy;
}

bool group_session::Repeatable(const std::string& url) const {
  if (url.starts_with("/v1/")) {
    return true;
  }
  const auto view = parts_->config->view();
  const route_config* route =
      view == nullptr ? nullptr : view->content().FindRoute(url);
  return route != nullptr && route->repeatable;
}

asio::awaitable<void> group_session::StartItems() {
  slot_denied_ = false;
  while (LeaseValid()) {
    std::vector<std::size_t> next =
        NextItems(record_, BusyItems(), kMaxStartsAtOnce);
    exhausted_ = next.empty();
    if (next.empty() || parts_->refusal()) {
      co_return;
    }
    if (record_.items[next.front()].crashes > 0) {
      std::shared_ptr<item_run> run = MakeRun(next.front());
      run->isolated = true;
      Launch(std::move(run), std::nullopt);
      co_return;
    }
    const bool repeatable = Repeatable(items_[next.front()].url);
    std::erase_if(next, [this, repeatable](std::size_t item) {
      return Repeatable(items_[item].url) != repeatable;
    });
    if (!repeatable) {
      co_await StartNonRepeatable(std::move(next));
      co_return;
    }
    if (!StartRepeatable(next)) {
      slot_denied_ = true;
      co_return;
    }
  }
}

bool group_session::StartRepeatable(const std::vector<std::size_t>& items) {
  for (const std::size_t item : items) {
    std::shared_ptr<item_run> run = MakeRun(item);
    std::optional<slot> acquired_slot = OfferSlot(run);
    if (!acquired_slot) {
      return false;
    }
    Launch(std::move(run), std::move(acquired_slot));
  }
  return true;
}

asio::awaitable<void> group_session::StartNonRepeatable(
    std::vector<std::size_t> items) {
  if (committing_) {
    co_return;  // Only one write may be in progress.
  }
  std::vector<std::pair<std::shared_ptr<item_run>, slot>> runs;
  std::vector<std::size_t> intents;
  for (const std::size_t item : items) {
    std::shared_ptr<item_run> run = MakeRun(item);
    std::optional<slot> acquired_slot = OfferSlot(run);
    if (!acquired_slot) {
      slot_denied_ = true;
      break;
    }
    intents.push_back(item);
    runs.emplace_back(std::move(run), std::move(*acquired_slot));
  }
  if (intents.empty()) {
    co_return;
  }
  const wall_time lease_end =
      parts_->context->time().WallNow() + kGroupLeaseDuration;
  auto next = RecordIntents(record_, lease_, intents, lease_end,
                            RandomHex(kNonceBytes));
  if (!next) {
    end_reason_ = end_reason::lost;
    co_return;
  }
  const bool stored = co_await StoreRecord(std::move(*next));
  if (!stored) {
    co_return;
  }
  for (auto& [run, acquired_slot] : runs) {
    Launch(run, std::move(acquired_slot));
  }
}

std::optional<slot> group_session::OfferSlot(
    const std::shared_ptr<item_run>& run) {
  return parts_->gate->OfferBatch(
      [weak = weak_from_this(), run, executor = executor_] {
        asio::post(executor, [weak, run] {
          if (const auto self = weak.lock()) {
            self->parts_->context->metrics()
                .Counter("cardamomyard_batch_preemptions_total")
                .Add();
            self->runner_.Stop(run);
          }
        });
      });
}

std::shared_ptr<item_run> group_session::MakeRun(std::size_t item) {
  if (const auto found = preempted_.find(item); found != preempted_.end()) {
    return found->second;
  }
  auto run = std::make_shared<item_run>();
  run->item = item;
  run->content = items_[item];
  run->request_id =
      job_.id + "-" + std::to_string(group_) + "-" + std::to_string(item);
  run->fingerprint =
      Fingerprint(job_.account, run->content.url, run->content.body);
  run->repeatable = Repeatable(run->content.url);
  run->stream = parts_->settings->kind == backend_kind::engine &&
                answer_collector::CanStream(run->content.body);
  const auto view = parts_->config->view();
  if (view != nullptr && parts_->settings->kind == backend_kind::service) {
    if (const service_config* service =
            view->content().FindService(parts_->settings->deployment)) {
      run->timeout = service->timeout;
    }
  }
  return run;
}

void group_session::Launch(std::shared_ptr<item_run> run,
                           std::optional<slot> acquired_slot) {
  preempted_.erase(run->item);
  running_[run->item] = run;
  asio::co_spawn(
      executor_,
      [self = shared_from_this(), run = std::move(run),
       acquired_slot =
           std::move(acquired_slot)]() mutable -> asio::awaitable<void> {
        co_await self->RunItem(std::move(run), std::move(acquired_slot));
      },
      kEndOnException);
}

asio::awaitable<void> group_session::RunItem(
    std::shared_ptr<item_run> run,
    std::optional<slot> acquired_slot) {
  item_outcome run_result;
  if (!acquired_slot) {
    run_result = co_await RunIsolated(run);
  } else if (LeaseValid()) {
    run_result = co_await runner_.Run(run, std::move(*acquired_slot));
  } else {
    run_result.stopped = true;
  }
  acquired_slot.reset();
  RecordOutcome(run, std::move(run_result));
}

asio::awaitable<item_outcome> group_session::RunIsolated(
    std::shared_ptr<item_run> run) {
  online_request isolated_request;
  isolated_request.account = job_.account;
  isolated_request.deadline = parts_->context->time().Now() + kIsolationTimeout;
  isolated_request.isolated = true;
  result<slot> acquired_slot =
      co_await parts_->gate->Admit(std::move(isolated_request));
  item_outcome run_result;
  if (acquired_slot && LeaseValid()) {
    run_result = co_await runner_.Run(run, std::move(*acquired_slot));
    if (run_result.report.engine_died) {
      co_await SleepFor(kLoneCrashPause);
    }
  } else {
    run_result.stopped = true;
    co_await SleepFor(kIsolationRetryDelay);
  }
  co_return run_result;
}

void group_session::RecordOutcome(const std::shared_ptr<item_run>& run,
                                  item_outcome run_result) {
  running_.erase(run->item);
  Wake();
  if (run_result.stopped && run->repeatable) {
    run->stop_requested = false;
    preempted_[run->item] = run;
    return;
  }
  if (run_result.stopped) {
    // The intent is stored, so the record must state that the item did not run.
    run_result.report.repeatable = false;
    run_result.report.failure =
        error::Make(error_kind::overloaded, "the run was not started");
  }
  item_result classified =
      ClassifyResult(run->item, record_.items[run->item], run_result.report);
  classified.tokens = run_result.tokens;
  item_answer answer;
  answer.custom_id = run->content.custom_id;
  answer.request_id = run->request_id;
  answer.status = run_result.report.http_status.value_or(0);
  answer.body = std::move(run_result.body);
  pending_.Add(std::move(classified), std::move(answer));
}

bool group_session::CommitDue() const {
  if (committing_ || end_reason_ == end_reason::lost ||
      end_reason_ == end_reason::done || end_reason_ == end_reason::released) {
    return false;
  }
  const duration age = parts_->context->time().Now() - last_commit_;
  if (pending_.empty()) {
    return age >= kRenewInterval && end_reason_ == end_reason::none;
  }
  const bool no_work_left =
      running_.empty() && (exhausted_ || drain_start_.has_value() ||
                           end_reason_ == end_reason::cancelled);
  return age >= kCommitInterval || pending_.size() >= kCommitThreshold ||
         pending_.full() || no_work_left;
}

asio::awaitable<void> group_session::CommitNow() {
  last_commit_ = parts_->context->time().Now();
  if (last_commit_ - last_job_check_ >= kRenewInterval) {
    last_job_check_ = last_commit_;
    co_await CheckJob();
  }
  segment_queue::pending_commit next = pending_.Next();
  std::string name;
  if (!next.segment_text.empty()) {
    name = SegmentName(lease_.fence, segments_++);
    const bool stored =
        co_await StoreSegment(name, std::move(next.segment_text));
    if (!stored) {
      co_return;
    }
  }
  const wall_time lease_end =
      parts_->context->time().WallNow() + kGroupLeaseDuration;
  auto record = Commit(record_, lease_, name, next.results, lease_end,
                       RandomHex(kNonceBytes));
  if (!record) {
    kLog.Error("Results could not be committed.",
               {{"group", key_}, {"error", record.error().message()}});
    end_reason_ = end_reason::lost;
    co_return;
  }
  const bool stored = co_await StoreRecord(std::move(*record));
  if (stored) {
    pending_.Drop(next.results.size());
    CountCommitted(next.results);
  }
}

asio::awaitable<void> group_session::CheckJob() {
  auto job =
      co_await ReadStored<job_record>(*parts_->store, batch_keys::Job(job_.id));
  if (job && *job && (*job)->value.state != job_state::in_progress &&
      end_reason_ == end_reason::none) {
    end_reason_ = end_reason::cancelled;
    StopRunningItems();
  }
}

asio::awaitable<bool> group_session::StoreSegment(std::string name,
                                                  std::string text) {
  const std::string key = batch_keys::Segment(job_.id, group_, name);
  while (LeaseValid()) {
    result<void> stored = co_await parts_->store->CreateImmutable(key, text);
    if (stored) {
      co_return true;
    }
    if (stored.error().kind() != error_kind::store_unavailable) {
      kLog.Error("A result segment could not be stored.",
                 {{"key", key}, {"error", stored.error().message()}});
      break;
    }
    co_await SleepFor(kStoreRetryInterval);
  }
  end_reason_ = end_reason::lost;
  co_return false;
}

asio::awaitable<bool> group_session::StoreRecord(group_record next) {
  // A failed write is retried unchanged, so that the nonce identifies it if it
  // was applied but its answer was lost.
  const std::string text = next.ToJson();
  const write_condition condition = write_if_version{version_};
  while (LeaseValid()) {
    result<std::uint64_t> written =
        co_await parts_->store->Put(key_, text, condition);
    if (written) {
      version_ = *written;
      record_ = std::move(next);
      co_return true;
    }
    if (written.error().kind() != error_kind::store_unavailable) {
      break;
    }
    co_await SleepFor(kStoreRetryInterval);
  }
  kLog.Info("The record of a group could not be written.", {{"group", key_}});
  if (end_reason_ != end_reason::cancelled) {
    end_reason_ = end_reason::lost;
  }
  pending_.Drop(pending_.size());
  co_return false;
}

void group_session::CountCommitted(const std::vector<item_result>& results) {
  metrics_registry& metrics = parts_->context->metrics();
  std::int64_t completion = 0;
  for (const item_result& run_result : results) {
    const item_state state = record_.items[run_result.item].state;
    if (state == item_state::pending) {
      continue;
    }
    metrics
        .Counter("cardamomyard_batch_items_total",
                 {{"state", std::string(ToString(state))}})
        .Add();
    completion += static_cast<std::int64_t>(run_result.tokens.completion);
  }
  metrics.Counter("cardamomyard_batch_tokens_total").Add(completion);
  *tokens_ += completion;
}

asio::awaitable<void> group_session::ReleaseGroup() {
  auto released = Release(record_, lease_, RandomHex(kNonceBytes));
  if (!released) {
    end_reason_ = end_reason::lost;
    co_return;
  }
  const bool stored = co_await StoreRecord(std::move(*released));
  if (stored) {
    end_reason_ = end_reason::released;
    kLog.Info("A group was released.", {{"group", key_}});
  }
}

asio::awaitable<void> group_session::CountFinishedGroup() {
  if (!record_.finished()) {
    co_return;
  }
  // If all attempts fail, another sidecar counts the group.
  for (int attempt = 0; attempt < kMaxCountAttempts; ++attempt) {
    result<job_record> job = co_await RecordGroupDone(
        *parts_->store, job_.id, parts_->settings->deployment, group_,
        record_.Counts());
    if (job) {
      if (job->finished()) {
        kLog.Info("A job ended.", {{"job", job_.id},
                                   {"completed", job->counts.completed},
                                   {"failed", job->counts.failed}});
      }
      co_return;
    }
    if (job.error().kind() != error_kind::store_unavailable) {
      co_return;
    }
    co_await SleepFor(kStoreRetryInterval);
  }
}

void group_session::StopRunningItems() {
  for (const auto& [item, run] : running_) {
    runner_.Stop(run);
  }
}

void group_session::Wake() {
  wake_requested_ = true;
  timer_.cancel();
}

asio::awaitable<void> group_session::Wait() {
  if (!std::exchange(wake_requested_, false)) {
    std::chrono::milliseconds delay = kPollInterval;
    if (slot_denied_) {
      delay = kSlotPollInterval;
    }
    timer_.expires_after(delay);
    boost::system::error_code ignored;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    wake_requested_ = false;
  }
}

}  // namespace cardamomyard
