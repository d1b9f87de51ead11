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
// Between the runs of an item whose result the store refuses.
constexpr std::chrono::milliseconds kFirstRefusalPause{500};
constexpr std::chrono::milliseconds kMaxRefusalPause{30'000};

/// \returns whether the store will refuse the same write again.
bool IsRefusedForGood(const error& cause) {
  return cause.kind() == error_kind::invalid_request ||
         cause.kind() == error_kind::too_large;
}

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
    std::vector<job_item_result> to_store =
        job->write_limit.TakeFrom(job->unstored);
    const bool is_limited = !job->unstored.empty();
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
      is_partial = is_limited || first_left != to_store.end();
      job->write_limit.Raise();
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
      Reload(id);
      co_return;
    }
    if (IsRefusedForGood(stored.error())) {
      const flush_step next = co_await IsolateRefused(id, std::move(to_store));
      if (next == flush_step::stop) {
        co_return;
      }
      is_partial = next == flush_step::at_once;
      if (!is_partial) {
        co_await SleepFor(delay.Next());
      }
      continue;
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

void job_runner::Reload(const std::string& job) {
  const owned_job* owned = Find(job);
  const stored_job current = owned->stored;
  const time_point first_seen = owned->first_seen;
  Drop(job);
  // Items without a stored result run again.
  AddOrUpdate(current, first_seen, false);
}

asio::awaitable<job_runner::flush_step> job_runner::IsolateRefused(
    std::string job,
    std::vector<job_item_result> results) {
  owned_job* owned = Find(job);
  const auto put_back = [&results](owned_job& to) {
    to.unstored.insert(to.unstored.begin(),
                       std::make_move_iterator(results.begin()),
                       std::make_move_iterator(results.end()));
  };
  if (results.size() > 1) {
    owned->write_limit.Lower(results.size());
    put_back(*owned);
    co_return flush_step::at_once;
  }
  // Without the result the same write tells whether the result is the cause.
  auto without = co_await host_->jobs().Append(job, owned->results, {});
  owned = Find(job);
  if (owned == nullptr) {
    co_return flush_step::stop;
  }
  if (!without && without.error().kind() == error_kind::conflict) {
    Reload(job);
    co_return flush_step::stop;
  }
  if (!without) {
    put_back(*owned);
    co_return flush_step::after_delay;
  }
  owned->results = std::move(*without);
  owned->write_limit.Raise();
  if (!results.front().completed) {
    // It has no text that another run could change.
    owned->unstored.push_back(std::move(results.front()));
    co_return flush_step::after_delay;
  }
  RunAgain(*owned, results.front().item);
  co_return flush_step::at_once;
}

void job_runner::RunAgain(owned_job& job, const std::string& item) {
  const std::string& id = job.stored.record.id;
  const auto& items = job.input->items;
  const auto found = std::ranges::find(items, item, &job_item::id);
  const auto pause =
      job.refused
          .try_emplace(item, kFirstRefusalPause, kMaxRefusalPause, Hash64(item))
          .first;
  const auto delay = pause->second.Next();
  host_->metrics().Counter("cardamomyard_refused_results_total").Add();
  log_.Warning("The store does not take a result; its item runs again.",
               {{"job", id}, {"item", item}, {"pause_ms", delay.count()}});
  job.settled.erase(item);
  if (job.stored.record.cancelled) {
    return;
  }
  queued_item open =
      OpenItem(job, static_cast<std::size_t>(found - items.begin()));
  open.not_before = host_->time().Now() + delay;
  queue_.Add(std::move(open));
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
