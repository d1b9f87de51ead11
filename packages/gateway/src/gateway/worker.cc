#include "src/gateway/worker.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <future>
#include <set>
#include <thread>
#include <utility>

#include "src/gateway/internal_paths.h"
#include "src/gateway/job_runner.h"
#include "src/gateway/worker_lease.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kScheduleTick{25};
// The end of a job must reach its owner within about three seconds also when
// a watch lost its events.
constexpr std::chrono::milliseconds kJobWatchWait{1500};
constexpr std::chrono::milliseconds kTakeoverPeriod{700};
// Another worker is noticed by its digest, at least each 250 ms.
constexpr std::chrono::milliseconds kEvacuationPoll{250};
// A job without an owner is taken by the worker that ranks first for it.
constexpr std::chrono::milliseconds kCollectPeriod{10'000};
// Beyond the time for which results must stay readable.
constexpr std::chrono::milliseconds kCollectMargin{60'000};
constexpr std::size_t kMaxPageBytes = 700'000;
constexpr std::size_t kMaxQuestionBytes = 64 * 1024;
constexpr std::chrono::milliseconds kStopMargin{1500};
constexpr std::chrono::milliseconds kStopPoll{20};
constexpr std::chrono::milliseconds kFirstRetry{100};
constexpr std::chrono::milliseconds kMostRetry{1000};

/// A job as last read from the store.
struct known_job {
  fleet_job record;
  std::uint64_t revision = 0;
  time_point first_seen;
};

class worker_impl final : public worker {
 public:
  static result<std::unique_ptr<worker>> Create(host_settings settings,
                                                platform_services services) {
    auto made = std::make_unique<worker_impl>();
    worker_impl* self = made.get();
    auto host = host_runtime::Create(
        std::move(settings), host_role::worker, std::move(services),
        host_runtime::role_events{
            [self](load_digest& digest) {
              digest.backlogs = self->runner_->Backlogs();
            },
            [self](const load_digest&) { self->runner_->Schedule(); },
            [](const std::string&) {},
            [](const std::shared_ptr<const service_map>&) {},
            [self](http_exchange& exchange) {
              return self->AnswerPage(exchange);
            }});
    if (!host) {
      return Fail(host.error());
    }
    made->host_ = std::move(*host);
    made->runner_ = std::make_unique<job_runner>(*made->host_);
    made->lease_ = std::make_unique<worker_lease>(
        made->host_->store(), made->host_->time(), made->host_->settings().name,
        made->host_->incarnation());
    return std::unique_ptr<worker>(std::move(made));
  }

  void Start() override {
    host_->Start();
    Follow(job_store::kJobKind, job_follower_,
           [this](const store_record& record, bool removed) {
             TakeJob(record, removed);
           });
    Follow(host_->codec().evacuation_kind(), evacuation_follower_,
           [this](const store_record& record, bool removed) {
             if (removed) {
               to_leave_.erase(record.name);
               return;
             }
             to_leave_.insert(record.name);
             if (record.name == host_->settings().name) {
               StartEvacuation();
             }
           });
    job_follower_->SetWait(kJobWatchWait);
    job_follower_->SetPause(ChangesPause(1));
    asio::co_spawn(host_->traffic(), KeepLease(), kEndOnException);
    asio::co_spawn(host_->traffic(), Tick(), kEndOnException);
    asio::co_spawn(host_->traffic(), TakeOver(), kEndOnException);
    asio::co_spawn(host_->traffic(), Collect(), kEndOnException);
  }

  void Stop() override {
    log_.Info("The worker stops.");
    const time_point end =
        host_->time().Now() + host_->settings().bounds.stop_grace - kStopMargin;
    std::promise<void> done;
    asio::post(host_->traffic(), [this, &done] {
      asio::co_spawn(host_->traffic(), HandOver(),
                     [&done](const std::exception_ptr&) { done.set_value(); });
    });
    auto handed_over = done.get_future();
    while (host_->time().Now() < end &&
           handed_over.wait_for(kStopPoll) != std::future_status::ready) {
    }
    log_.Info("The worker has stopped.");
  }

 private:
  void Follow(
      const std::string& kind,
      std::unique_ptr<object_follower>& follower,
      const std::function<void(const store_record&, bool removed)>& take) {
    follower_events events;
    const auto executor = host_->traffic();
    events.on_snapshot = [this, kind, take,
                          executor](const store_snapshot& snapshot) {
      asio::post(executor, [this, kind, take, snapshot] {
        if (kind == job_store::kJobKind && !listed_revision_) {
          listed_revision_ = snapshot.revision;
        }
        if (kind == host_->codec().evacuation_kind()) {
          to_leave_.clear();
        }
        for (const store_record& record : snapshot.records) {
          take(record, false);
        }
      });
    };
    events.on_change = [take, executor](const store_change& change,
                                        std::uint64_t) {
      asio::post(executor,
                 [take, change] { take(change.record, change.removed); });
    };
    events.on_contact = [](bool) {};
    follower = std::make_unique<object_follower>(host_->store(), host_->time(),
                                                 kind, std::move(events));
    asio::co_spawn(host_->control(), follower->Run(), kEndOnException);
  }

  void TakeJob(const store_record& record, bool removed) {
    if (removed) {
      known_.erase(record.name);
      runner_->Drop(record.name);
      return;
    }
    auto read = DecodeRecord(record.name, record.value);
    if (!read) {
      log_.Error("A batch job's record cannot be read.",
                 {{"job", record.name}, {"reason", read.error().message()}});
      return;
    }
    known_job& known =
        known_.try_emplace(record.name, known_job{{}, 0, host_->time().Now()})
            .first->second;
    if (record.revision <= known.revision) {
      return;
    }
    // Seen for the first time, written after this process had listed all jobs,
    // and never taken over: it has just been created.
    const bool is_new = known.revision == 0 && listed_revision_ &&
                        record.revision > *listed_revision_ &&
                        read->owner_changes == 0 && !read->cancelled;
    known.record = std::move(*read);
    known.revision = record.revision;
    if (known.record.owner == host_->settings().name) {
      runner_->Own({known.record, known.revision}, known.first_seen, is_new);
    } else {
      runner_->Drop(record.name);
    }
  }

  asio::awaitable<void> Tick() {
    while (true) {
      co_await SleepFor(kScheduleTick);
      runner_->Schedule();
    }
  }

  asio::awaitable<void> KeepLease() {
    while (!host_->draining()) {
      if (runner_->has_open_jobs()) {
        co_await lease_->Renew();
      }
      co_await SleepFor(worker_lease::kRenewal);
    }
  }

  /// Takes jobs whose owner is gone.
  asio::awaitable<void> TakeOver() {
    while (true) {
      co_await SleepFor(kTakeoverPeriod);
      job_follower_->SetPause(ChangesPause(
          1 + host_->peers()
                  .LivePeers(host_role::worker, host_->time().Now())
                  .size()));
      std::map<std::string, std::vector<std::string>> jobs_of;
      for (const auto& [id, job] : known_) {
        if (!job.record.finished &&
            job.record.owner != host_->settings().name &&
            OwnerSeemsGone(job.record.owner) && IsFirst(id)) {
          jobs_of[job.record.owner].push_back(id);
        }
      }
      for (const auto& [owner, ids] : jobs_of) {
        if (host_->draining() ||
            (!owner.empty() && !co_await lease_->Lapsed(owner))) {
          continue;
        }
        for (const std::string& id : ids) {
          co_await Take(id, owner);
        }
      }
    }
  }

  bool OwnerSeemsGone(const std::string& owner) const {
    const peer_state* peer = host_->peers().Find(owner);
    return peer == nullptr ||
           !host_->peers().IsLive(*peer, host_->time().Now()) ||
           peer->digest.draining;
  }

  /// \returns whether this worker ranks first for a job among the live ones.
  bool IsFirst(const std::string& job) const {
    std::vector<std::string> names{host_->settings().name};
    for (const peer_state* peer :
         host_->peers().LivePeers(host_role::worker, host_->time().Now())) {
      names.push_back(peer->host.name);
    }
    return RendezvousTop(names, job, 1).front() == host_->settings().name;
  }

  asio::awaitable<void> Take(std::string id, std::string owner) {
    const auto known = known_.find(id);
    if (known == known_.end() || known->second.record.owner != owner) {
      co_return;
    }
    fleet_job record = known->second.record;
    record.owner = host_->settings().name;
    ++record.owner_changes;
    const std::uint64_t seen = known->second.revision;
    const auto written = co_await host_->jobs().Update(record, seen);
    log_.Info("A batch job is taken over.",
              {{"job", id},
               {"from", owner},
               {"revision", seen},
               {"outcome", written ? "taken" : written.error().message()}});
    if (written) {
      // A watch event may have removed or changed it meanwhile.
      known_job& taken =
          known_.try_emplace(id, known_job{{}, 0, host_->time().Now()})
              .first->second;
      if (*written > taken.revision) {
        taken.record = record;
        taken.revision = *written;
      }
      runner_->Own({taken.record, taken.revision}, taken.first_seen, false);
    }
  }

  /// Removes jobs whose results nobody may ask for any more.
  asio::awaitable<void> Collect() {
    while (true) {
      co_await SleepFor(kCollectPeriod);
      const time_point now = host_->time().Now();
      std::vector<fleet_job> old;
      for (const auto& [id, job] : known_) {
        // Not by wall time, which may jump.
        if (job.record.finished && job.record.owner == host_->settings().name &&
            now - job.first_seen >
                host_->settings().bounds.result_retention + kCollectMargin) {
          old.push_back(job.record);
        }
      }
      for (const fleet_job& record : old) {
        const auto results = co_await host_->jobs().ReadResults(record.id);
        if (results) {
          log_.Info("An old batch job is removed.", {{"job", record.id}});
          co_await host_->jobs().Remove(record, results->results);
        }
      }
    }
  }

  asio::awaitable<void> AnswerPage(http_exchange& exchange) {
    const auto body = co_await exchange.ReadBody(kMaxQuestionBytes);
    if (!body || exchange.request().target != kJobPagePath) {
      co_await exchange.Send(ErrorResponse(
          error::Make(error_kind::not_found, "unknown call"), ""));
      co_return;
    }
    const auto question = Decode<job_page_request>(*body);
    if (!question) {
      co_await exchange.Send(ErrorResponse(question.error(), ""));
      co_return;
    }
    http_response answer;
    answer.body = Encode(co_await Page(*question));
    co_await exchange.Send(std::move(answer));
  }

  asio::awaitable<job_page> Page(job_page_request question) {
    const time_point until = host_->time().Now() + question.wait;
    job_page page;
    while (true) {
      const owned_job* job = runner_->Find(question.job);
      if (job == nullptr || !job->loaded ||
          job->stored.record.account != question.account) {
        co_return page;
      }
      const bool more =
          question.after < static_cast<std::int64_t>(job->listed.size());
      const bool final = job->stored.record.finished;
      const time_point now = host_->time().Now();
      if (more || final || now >= until) {
        // That there is no more is only known while nobody else may own it.
        if (!more && !final && !lease_->Held()) {
          co_return page;
        }
        page.state = job_page_state::known;
        page.total = job->stored.record.total;
        page.results =
            SliceResults(job->listed, static_cast<std::size_t>(question.after),
                         kMaxPageBytes);
        co_return page;
      }
      job->changed->expires_after(until - now);
      co_await job->changed->async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  /// Stops the items, stores what is finished and frees the jobs for others.
  asio::awaitable<void> HandOver() {
    host_->StartDraining();
    runner_->StopAll();
    while (!runner_->idle()) {
      co_await SleepFor(kStopPoll);
    }
    co_await lease_->Release();
  }

  void StartEvacuation() {
    if (evacuating_) {
      return;
    }
    evacuating_ = true;
    log_.Info("The host is to be evacuated.");
    asio::co_spawn(host_->traffic(), Evacuate(), kEndOnException);
  }

  bool OthersTakeOver() const {
    std::set<std::string> live;
    for (const peer_state* peer :
         host_->peers().LivePeers(host_role::worker, host_->time().Now())) {
      live.insert(peer->host.name);
    }
    return MayEvacuate(host_->settings().name, live, to_leave_);
  }

  asio::awaitable<void> Evacuate() {
    co_await ReportEvacuation(false);
    bool told = false;
    while (!OthersTakeOver()) {
      if (!std::exchange(told, true)) {
        log_.Warning("The evacuation waits: no other worker can take the jobs.",
                     {{"to_leave", to_leave_.size()}});
      }
      co_await SleepFor(kEvacuationPoll);
      if (!to_leave_.contains(host_->settings().name)) {
        log_.Info("The evacuation is called off.");
        evacuating_ = false;
        co_return;
      }
    }
    co_await HandOver();
    co_await ReportEvacuation(true);
    log_.Info("The host is evacuated.");
  }

  asio::awaitable<void> ReportEvacuation(bool completed) {
    backoff delay(kFirstRetry, kMostRetry, Hash64(host_->settings().name));
    while (true) {
      const auto set = co_await host_->store().SetStatus(
          host_->codec().evacuation_kind(), host_->settings().name,
          host_->codec().EvacuationStatus(completed));
      if (set || set.error().kind() == error_kind::not_found) {
        co_return;
      }
      log_.Warning("The progress of the evacuation cannot be reported.",
                   {{"reason", set.error().message()}});
      co_await SleepFor(delay.Next());
    }
  }

  std::unique_ptr<host_runtime> host_;
  std::unique_ptr<job_runner> runner_;
  std::unique_ptr<worker_lease> lease_;
  std::unique_ptr<object_follower> job_follower_;
  std::unique_ptr<object_follower> evacuation_follower_;
  std::map<std::string, known_job> known_;
  /// Revision of the store at which this process first listed all jobs.
  std::optional<std::uint64_t> listed_revision_;
  part_log log_{"worker"};
  bool evacuating_ = false;
  /// Hosts that the operator wants emptied.
  std::set<std::string> to_leave_;
};

}  // namespace

result<std::unique_ptr<worker>> worker::Create(host_settings settings,
                                               platform_services services) {
  return worker_impl::Create(std::move(settings), std::move(services));
}

}  // namespace cardamomyard
