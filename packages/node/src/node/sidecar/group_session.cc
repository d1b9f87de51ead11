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
constexpr std::size_t kStartAtOnce = 16;
constexpr std::chrono::seconds kCommitInterval{2};
constexpr std::size_t kCommitResults = 200;
// A third of the lease, so that two renewals may fail.
constexpr std::chrono::seconds kRenewInterval{5};
constexpr std::chrono::milliseconds kStoreRetry{250};
// Free slots are used within this time.
constexpr std::chrono::milliseconds kSlotPoll{10};
constexpr std::chrono::milliseconds kPoll{100};
// Running items get this long at a drain; an item that is cut starts again
// elsewhere from its first token.
constexpr std::chrono::seconds kDrainGrace{5};
constexpr std::chrono::seconds kIsolationWait{30};
// Another run alone may be under way; its end is not announced.
constexpr std::chrono::milliseconds kIsolationRetry{250};
constexpr int kFinishTries = 40;

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
      hold_{record_.holder, record_.fence},
      runner_(parts, executor),
      pending_(job_.id, group_),
      tokens_(&tokens),
      timer_(executor),
      last_commit_(parts.context->time().Now()),
      last_job_check_(last_commit_) {}

asio::awaitable<void> group_session::Run() {
  while (true) {
    if (ended_ == end_reason::none && record_.finished()) {
      ended_ = end_reason::done;
    }
    if (ended_ == end_reason::none && Cancelled()) {
      ended_ = end_reason::cancelled;
    }
    if (ended_ == end_reason::none && !LeaseHolds() && !committing_) {
      kLog.Info("The lease of a group has lapsed.", {{"group", key_}});
      ended_ = end_reason::lost;
    }
    if (ended_ == end_reason::lost || ended_ == end_reason::cancelled) {
      StopAll();
    }
    const bool draining = Draining();
    if (ended_ == end_reason::none && !draining) {
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
      const bool unwritten =
          !pending_.empty() && ended_ != end_reason::lost && LeaseHolds();
      if (!unwritten && draining && ended_ == end_reason::none &&
          !record_.finished()) {
        co_await GiveBack();
      }
      if (!unwritten && ended_ != end_reason::none) {
        break;
      }
    }
    co_await Wait();
  }
  co_await Finish();
}

bool group_session::Cancelled() const {
  return parts_->cancelled->Contains(
      batch_keys::Cancelled(job_.account, job_.id),
      parts_->context->time().Now());
}

bool group_session::Draining() {
  const std::optional<error> refusal = parts_->refusal();
  if (!refusal || refusal->kind() != error_kind::draining) {
    return false;
  }
  const time_point now = parts_->context->time().Now();
  drain_began_ = drain_began_.value_or(now);
  if (now - *drain_began_ > kDrainGrace) {
    StopAll();
  }
  return true;
}

bool group_session::LeaseHolds() const {
  return MayStart(record_, hold_, parts_->context->time().WallNow());
}

std::vector<std::size_t> group_session::Busy() const {
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
  slots_short_ = false;
  while (LeaseHolds()) {
    std::vector<std::size_t> next = NextItems(record_, Busy(), kStartAtOnce);
    exhausted_ = next.empty();
    if (next.empty() || parts_->refusal()) {
      co_return;
    }
    if (record_.items[next.front()].crashes > 0) {
      std::shared_ptr<item_run> run = MakeRun(next.front());
      run->alone = true;
      Launch(std::move(run), std::nullopt);
      co_return;
    }
    const bool repeatable = Repeatable(items_[next.front()].url);
    std::erase_if(next, [this, repeatable](std::size_t item) {
      return Repeatable(items_[item].url) != repeatable;
    });
    if (!repeatable) {
      co_await StartUnrepeatable(std::move(next));
      co_return;
    }
    if (!StartRepeatable(next)) {
      slots_short_ = true;
      co_return;
    }
  }
}

bool group_session::StartRepeatable(const std::vector<std::size_t>& items) {
  for (const std::size_t item : items) {
    std::shared_ptr<item_run> run = MakeRun(item);
    std::optional<slot> held = OfferSlot(run);
    if (!held) {
      return false;
    }
    Launch(std::move(run), std::move(held));
  }
  return true;
}

asio::awaitable<void> group_session::StartUnrepeatable(
    std::vector<std::size_t> items) {
  if (committing_) {
    co_return;  // One write at a time.
  }
  std::vector<std::pair<std::shared_ptr<item_run>, slot>> runs;
  std::vector<std::size_t> intents;
  for (const std::size_t item : items) {
    std::shared_ptr<item_run> run = MakeRun(item);
    std::optional<slot> held = OfferSlot(run);
    if (!held) {
      slots_short_ = true;
      break;
    }
    intents.push_back(item);
    runs.emplace_back(std::move(run), std::move(*held));
  }
  if (intents.empty()) {
    co_return;
  }
  const wall_time until =
      parts_->context->time().WallNow() + kGroupLeaseDuration;
  auto next =
      RecordIntents(record_, hold_, intents, until, RandomHex(kNonceBytes));
  if (!next) {
    ended_ = end_reason::lost;
    co_return;
  }
  const bool stored = co_await StoreRecord(std::move(*next));
  if (!stored) {
    co_return;
  }
  for (auto& [run, held] : runs) {
    Launch(run, std::move(held));
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
  run->print = Fingerprint(job_.account, run->content.url, run->content.body);
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
                           std::optional<slot> held) {
  preempted_.erase(run->item);
  running_[run->item] = run;
  asio::co_spawn(
      executor_,
      [self = shared_from_this(), run = std::move(run),
       held = std::move(held)]() mutable -> asio::awaitable<void> {
        co_await self->RunItem(std::move(run), std::move(held));
      },
      kEndOnException);
}

asio::awaitable<void> group_session::RunItem(std::shared_ptr<item_run> run,
                                             std::optional<slot> held) {
  item_outcome ended;
  if (!held) {
    ended = co_await RunAlone(run);
  } else if (LeaseHolds()) {
    ended = co_await runner_.Run(run, std::move(*held));
  } else {
    ended.stopped = true;
  }
  held.reset();
  TakeOutcome(run, std::move(ended));
}

asio::awaitable<item_outcome> group_session::RunAlone(
    std::shared_ptr<item_run> run) {
  online_request alone;
  alone.account = job_.account;
  alone.deadline = parts_->context->time().Now() + kIsolationWait;
  alone.isolated = true;
  result<slot> held = co_await parts_->gate->Admit(std::move(alone));
  item_outcome ended;
  if (held && LeaseHolds()) {
    ended = co_await runner_.Run(run, std::move(*held));
  } else {
    ended.stopped = true;
    co_await SleepFor(kIsolationRetry);
  }
  co_return ended;
}

void group_session::TakeOutcome(const std::shared_ptr<item_run>& run,
                                item_outcome ended) {
  running_.erase(run->item);
  Wake();
  if (ended.stopped && run->repeatable) {
    run->stop = false;
    preempted_[run->item] = run;
    return;
  }
  if (ended.stopped) {
    // Its intent is stored, so the record must say that it did not run.
    ended.report.repeatable = false;
    ended.report.failure =
        error::Make(error_kind::overloaded, "the run was not started");
  }
  item_result verdict =
      ClassifyResult(run->item, record_.items[run->item], ended.report);
  verdict.tokens = ended.tokens;
  item_answer answer;
  answer.custom_id = run->content.custom_id;
  answer.request_id = run->request_id;
  answer.status = ended.report.http_status.value_or(0);
  answer.body = std::move(ended.body);
  pending_.Add(std::move(verdict), std::move(answer));
}

bool group_session::CommitDue() const {
  if (committing_ || ended_ == end_reason::lost || ended_ == end_reason::done ||
      ended_ == end_reason::released) {
    return false;
  }
  const duration age = parts_->context->time().Now() - last_commit_;
  if (pending_.empty()) {
    return age >= kRenewInterval && ended_ == end_reason::none;
  }
  const bool nothing_else =
      running_.empty() && (exhausted_ || drain_began_.has_value() ||
                           ended_ == end_reason::cancelled);
  return age >= kCommitInterval || pending_.size() >= kCommitResults ||
         pending_.full() || nothing_else;
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
    name = SegmentName(hold_.fence, segments_++);
    const bool stored =
        co_await StoreSegment(name, std::move(next.segment_text));
    if (!stored) {
      co_return;
    }
  }
  const wall_time until =
      parts_->context->time().WallNow() + kGroupLeaseDuration;
  auto record =
      Commit(record_, hold_, name, next.results, until, RandomHex(kNonceBytes));
  if (!record) {
    kLog.Error("Results could not be committed.",
               {{"group", key_}, {"error", record.error().message()}});
    ended_ = end_reason::lost;
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
      ended_ == end_reason::none) {
    ended_ = end_reason::cancelled;
    StopAll();
  }
}

asio::awaitable<bool> group_session::StoreSegment(std::string name,
                                                  std::string text) {
  const std::string key = batch_keys::Segment(job_.id, group_, name);
  while (LeaseHolds()) {
    result<void> stored = co_await parts_->store->CreateImmutable(key, text);
    if (stored) {
      co_return true;
    }
    if (stored.error().kind() != error_kind::store_unavailable) {
      kLog.Error("A result segment could not be stored.",
                 {{"key", key}, {"error", stored.error().message()}});
      break;
    }
    co_await SleepFor(kStoreRetry);
  }
  ended_ = end_reason::lost;
  co_return false;
}

asio::awaitable<bool> group_session::StoreRecord(group_record next) {
  // The write in progress is repeated unchanged: a lost answer is then found by
  // its nonce.
  const std::string text = next.ToJson();
  const write_condition condition = write_if_version{version_};
  while (LeaseHolds()) {
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
    co_await SleepFor(kStoreRetry);
  }
  kLog.Info("A group was lost.", {{"group", key_}});
  if (ended_ != end_reason::cancelled) {
    ended_ = end_reason::lost;
  }
  pending_.Drop(pending_.size());
  co_return false;
}

void group_session::CountCommitted(const std::vector<item_result>& results) {
  metrics_registry& metrics = parts_->context->metrics();
  std::int64_t completion = 0;
  for (const item_result& ended : results) {
    const item_state state = record_.items[ended.item].state;
    if (state == item_state::pending) {
      continue;
    }
    metrics
        .Counter("cardamomyard_batch_items_total",
                 {{"state", std::string(ToString(state))}})
        .Add();
    completion += static_cast<std::int64_t>(ended.tokens.completion);
  }
  metrics.Counter("cardamomyard_batch_tokens_total").Add(completion);
  *tokens_ += completion;
}

asio::awaitable<void> group_session::GiveBack() {
  auto released = Release(record_, hold_, RandomHex(kNonceBytes));
  if (!released) {
    ended_ = end_reason::lost;
    co_return;
  }
  const bool stored = co_await StoreRecord(std::move(*released));
  if (stored) {
    ended_ = end_reason::released;
    kLog.Info("A group was given back.", {{"group", key_}});
  }
}

asio::awaitable<void> group_session::Finish() {
  if (!record_.finished()) {
    co_return;
  }
  // Another sidecar counts the group when this one cannot.
  for (int tries = 0; tries < kFinishTries; ++tries) {
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
    co_await SleepFor(kStoreRetry);
  }
}

void group_session::StopAll() {
  for (const auto& [item, run] : running_) {
    runner_.Stop(run);
  }
}

void group_session::Wake() {
  woken_ = true;
  timer_.cancel();
}

asio::awaitable<void> group_session::Wait() {
  if (!std::exchange(woken_, false)) {
    std::chrono::milliseconds delay = kPoll;
    if (slots_short_) {
      delay = kSlotPoll;
    }
    timer_.expires_after(delay);
    boost::system::error_code ignored;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    woken_ = false;
  }
}

}  // namespace cardamomyard
