// Results of batch items: how they are stored and when a job is finished.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "src/gateway/job_runner.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kInitialRetryDelay{80};
constexpr std::chrono::milliseconds kMaxRetryDelay{1000};

}  // namespace

void job_runner::RecordResult(owned_job& job, job_item_result entry) {
  const std::string id = job.stored.record.id;
  queue_.Erase(id, entry.item);
  if (!job.settled.insert(entry.item).second) {
    return;
  }
  host_->metrics()
      .Counter("cardamomyard_batch_items_total",
               {{"state", entry.completed ? "completed" : "failed"}})
      .Add();
  job.unstored.push_back(std::move(entry));
  if (!job.flushing) {
    job.flushing = true;
    asio::co_spawn(host_->traffic(), Flush(id), kEndOnException);
  }
}

asio::awaitable<void> job_runner::Flush(std::string id) {
  backoff delay(kInitialRetryDelay, kMaxRetryDelay, Hash64(id));
  // Results that did not fit into the last write follow at once.
  bool is_partial = false;
  while (true) {
    owned_job* job = Find(id);
    if (job != nullptr && !job->unstored.empty() && !is_partial) {
      co_await SleepFor(StoreDelay(job->due, host_->time().Now()));
      job = Find(id);
    }
    if (job == nullptr) {
      co_return;
    }
    if (job->unstored.empty()) {
      job->flushing = false;
      break;
    }
    std::vector<job_item_result> to_store = std::move(job->unstored);
    job->unstored.clear();
    is_partial = false;
    auto stored = co_await host_->jobs().Append(id, job->results, to_store);
    job = Find(id);
    if (job == nullptr) {
      co_return;
    }
    if (stored) {
      const auto first_left = to_store.begin() + (stored->results.count() -
                                                  job->results.results.count());
      job->results = std::move(*stored);
      std::move(to_store.begin(), first_left,
                std::back_inserter(job->persisted));
      is_partial = first_left != to_store.end();
      job->unstored.insert(job->unstored.begin(),
                           std::make_move_iterator(first_left),
                           std::make_move_iterator(to_store.end()));
      log_.Info("Results of a batch job are stored.",
                {{"job", id},
                 {"listed", job->persisted.size()},
                 {"items", job->stored.record.total},
                 {"revision", job->results.revision}});
      delay.Reset();
      job->results_changed->Notify();
      continue;
    }
    log_.Warning("Results of a batch job cannot be stored yet.",
                 {{"job", id},
                  {"results", to_store.size()},
                  {"revision", job->results.revision},
                  {"kind", ToString(stored.error().kind())},
                  {"reason", stored.error().message()}});
    if (stored.error().kind() == error_kind::conflict) {
      // Another worker stored results of this job. The job is loaded again from
      // the store; items without a stored result run again.
      const stored_job current = job->stored;
      const time_point first_seen = job->first_seen;
      Drop(id);
      AddOrUpdate(current, first_seen, false);
      co_return;
    }
    job->unstored.insert(job->unstored.begin(),
                         std::make_move_iterator(to_store.begin()),
                         std::make_move_iterator(to_store.end()));
    co_await SleepFor(delay.Next());
  }
  owned_job* job = Find(id);
  if (job != nullptr && job->persisted.size() == job->input->items.size()) {
    co_await Finish(id);
  }
}

asio::awaitable<void> job_runner::Finish(std::string id) {
  backoff delay(kInitialRetryDelay, kMaxRetryDelay, Hash64(id));
  while (true) {
    owned_job* job = Find(id);
    if (job == nullptr || job->stored.record.finished) {
      co_return;
    }
    fleet_job record = job->stored.record;
    record.finished = true;
    const auto written =
        co_await host_->jobs().Update(record, job->stored.revision);
    job = Find(id);
    if (job == nullptr) {
      co_return;
    }
    if (written) {
      job->stored = {std::move(record), *written};
      log_.Info("A batch job is finished.",
                {{"job", id},
                 {"listed", job->persisted.size()},
                 {"ended", job->stored.record.cancelled ? "yes" : "no"}});
      job->results_changed->Notify();
      co_return;
    }
    if (written.error().kind() == error_kind::conflict) {
      auto owned = co_await host_->jobs().Read(id);
      job = Find(id);
      if (job == nullptr || (owned && !*owned)) {
        co_return;
      }
      if (owned) {
        if ((*owned)->record.owner != host_->settings().name) {
          Drop(id);
          co_return;
        }
        job->stored = std::move(**owned);
        continue;
      }
    }
    co_await SleepFor(delay.Next());
  }
}

}  // namespace cardamomyard
