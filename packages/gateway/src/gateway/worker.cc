#include "src/gateway/worker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
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

constexpr std::chrono::milliseconds kScheduleInterval{25};
// Digests arrive more often the more peers there are. A pass after each of them
// would take most of a worker's processor in a large fleet, so the time between
// two passes grows with the peers.
constexpr std::chrono::microseconds kPassSpacingPerPeer{100};
constexpr std::chrono::milliseconds kMaxPassSpacing{20};
// The cancellation of a job must reach its owner within about 3 s, even when a
// watch lost its events.
constexpr std::chrono::milliseconds kJobWatchTimeout{1500};
constexpr std::chrono::milliseconds kTakeoverPeriod{700};
// Other workers are known from their digests, sent at least each 250 ms.
constexpr std::chrono::milliseconds kEvacuationPollInterval{250};
constexpr std::chrono::milliseconds kCleanupPeriod{10'000};
// Added to the time for which results must stay readable.
constexpr std::chrono::milliseconds kCleanupMargin{60'000};
constexpr std::size_t kMaxPageBytes = 700'000;
constexpr std::size_t kMaxPageRequestBytes = 64 * 1024;
constexpr std::chrono::milliseconds kStopMargin{1500};
constexpr std::chrono::milliseconds kStopPollInterval{20};
constexpr std::chrono::milliseconds kInitialRetryDelay{100};
constexpr std::chrono::milliseconds kMaxRetryDelay{1000};

/// A job as last seen in the store.
struct known_job {
  fleet_job record;
  std::uint64_t revision = 0;
  time_point first_seen;
};

class worker_impl final : public worker {
 public:
  static result<std::unique_ptr<worker>> Create(host_settings settings,
                                                platform_services services) {
    auto created = std::make_unique<worker_impl>();
    worker_impl* self = created.get();
    auto host = host_runtime::Create(
        std::move(settings), host_role::worker, std::move(services),
        host_runtime::role_callbacks{
            [self](load_digest& digest) {
              digest.backlogs = self->runner_->Backlogs();
            },
            [self](const load_digest&) { self->SchedulePass(); },
            [](const std::string&) {},
            [self](const std::shared_ptr<const service_map>&) {
              self->runner_->UpdateLimits();
            },
            [self](http_exchange& exchange) {
              return self->HandleInternal(exchange);
            }});
    if (!host) {
      return Fail(host.error());
    }
    created->host_ = std::move(*host);
    created->runner_ = std::make_unique<job_runner>(*created->host_);
    created->lease_ = std::make_unique<worker_lease>(
        created->host_->store(), created->host_->time(),
        created->host_->settings().name, created->host_->incarnation());
    return std::unique_ptr<worker>(std::move(created));
  }

  void Start() override {
    host_->Start();
    Follow(job_store::kJobKind, job_follower_,
           [this](const store_record& record, bool removed) {
             ApplyJobRecord(record, removed);
           });
    Follow(host_->codec().evacuation_kind(), evacuation_follower_,
           [this](const store_record& record, bool removed) {
             if (removed) {
               hosts_to_evacuate_.erase(record.name);
               return;
             }
             hosts_to_evacuate_.insert(record.name);
             if (record.name == host_->settings().name) {
               StartEvacuation();
             }
           });
    asio::post(host_->control(), [this] {
      job_follower_->SetWatch(kJobWatchTimeout, read_freshness::linearizable);
    });
    job_follower_->SetPause(kChangesPause);
    asio::co_spawn(host_->traffic(), RunLeaseLoop(), kEndOnException);
    asio::co_spawn(host_->traffic(), RunScheduleLoop(), kEndOnException);
    asio::co_spawn(host_->traffic(), RunTakeoverLoop(), kEndOnException);
    asio::co_spawn(host_->traffic(), RunCleanupLoop(), kEndOnException);
  }

  void Stop() override {
    log_.Info("The worker stops.");
    const time_point end =
        host_->time().Now() + host_->settings().bounds.stop_grace - kStopMargin;
    // Shared, as the handover may end after this function.
    const auto done = std::make_shared<std::promise<void>>();
    asio::post(host_->traffic(), [this, done] {
      asio::co_spawn(host_->traffic(), HandOver(),
                     [done](const std::exception_ptr&) { done->set_value(); });
    });
    auto handed_over = done->get_future();
    while (host_->time().Now() < end &&
           handed_over.wait_for(kStopPollInterval) !=
               std::future_status::ready) {
    }
    log_.Info("The worker has stopped.");
  }

 private:
  void Follow(
      const std::string& kind,
      std::unique_ptr<object_follower>& follower,
      const std::function<void(const store_record&, bool removed)>& apply) {
    follower_events events;
    const auto executor = host_->traffic();
    events.on_snapshot = [this, kind, apply,
                          executor](const store_snapshot& snapshot) {
      asio::post(executor, [this, kind, apply, snapshot] {
        if (kind == job_store::kJobKind && !listed_revision_) {
          listed_revision_ = snapshot.revision;
        }
        if (kind == host_->codec().evacuation_kind()) {
          hosts_to_evacuate_.clear();
        }
        for (const store_record& record : snapshot.records) {
          apply(record, false);
        }
      });
    };
    events.on_changes = [apply, executor](const store_changes& answer) {
      for (const store_change& change : answer.changes) {
        asio::post(executor,
                   [apply, change] { apply(change.record, change.removed); });
      }
    };
    events.on_contact = [](bool) {};
    follower = std::make_unique<object_follower>(host_->store(), host_->time(),
                                                 kind, std::move(events));
    asio::co_spawn(host_->control(), follower->Run(), kEndOnException);
  }

  void ApplyJobRecord(const store_record& record, bool removed) {
    if (removed) {
      known_jobs_.erase(record.name);
      runner_->Drop(record.name);
      return;
    }
    auto decoded = DecodeRecord(record.name, record.value);
    if (!decoded) {
      log_.Error("The record of a batch job cannot be parsed.",
                 {{"job", record.name}, {"reason", decoded.error().message()}});
      return;
    }
    known_job& known =
        known_jobs_
            .try_emplace(record.name, known_job{{}, 0, host_->time().Now()})
            .first->second;
    if (record.revision <= known.revision) {
      return;
    }
    // A job seen for the first time, written after this process listed all
    // jobs, and never taken over, has just been created.
    const bool is_new = known.revision == 0 && listed_revision_ &&
                        record.revision > *listed_revision_ &&
                        decoded->owner_changes == 0 && !decoded->cancelled;
    known.record = std::move(*decoded);
    known.revision = record.revision;
    if (known.record.owner == host_->settings().name) {
      runner_->AddOrUpdate({known.record, known.revision}, known.first_seen,
                           is_new);
    } else {
      runner_->Drop(record.name);
    }
  }

  asio::awaitable<void> RunScheduleLoop() {
    while (true) {
      co_await SleepFor(kScheduleInterval);
      RunPass();
    }
  }

  void RunPass() {
    last_pass_ = host_->time().Now();
    runner_->Schedule();
  }

  /// Runs a pass now, or a little later if one has only just run.
  void SchedulePass() {
    if (pass_pending_) {
      return;
    }
    const time_point due =
        last_pass_ +
        std::min<duration>(kMaxPassSpacing,
                           kPassSpacingPerPeer *
                               static_cast<int>(host_->peers().peers().size()));
    const time_point now = host_->time().Now();
    if (now >= due) {
      RunPass();
      return;
    }
    pass_pending_ = true;
    asio::co_spawn(host_->traffic(), RunPendingPass(due - now),
                   kEndOnException);
  }

  asio::awaitable<void> RunPendingPass(duration delay) {
    co_await SleepFor(delay);
    pass_pending_ = false;
    RunPass();
  }

  asio::awaitable<void> RunLeaseLoop() {
    while (!host_->draining()) {
      if (runner_->has_open_jobs()) {
        co_await lease_->Renew();
      }
      co_await SleepFor(worker_lease::kRenewalPeriod);
    }
  }

  /// Takes over jobs without an owner, and jobs whose owner's lease has lapsed.
  /// Of the live workers, the one that ranks first for a job takes it.
  asio::awaitable<void> RunTakeoverLoop() {
    while (true) {
      co_await SleepFor(kTakeoverPeriod);
      std::map<std::string, std::vector<std::string>> jobs_by_owner;
      for (const auto& [id, job] : known_jobs_) {
        if (!job.record.finished &&
            job.record.owner != host_->settings().name &&
            IsOwnerUnavailable(job.record.owner) && RanksFirst(id)) {
          jobs_by_owner[job.record.owner].push_back(id);
        }
      }
      for (const auto& [owner, ids] : jobs_by_owner) {
        if (host_->draining() ||
            (!owner.empty() && !co_await lease_->HasLapsed(owner))) {
          continue;
        }
        for (const std::string& id : ids) {
          co_await TakeOverJob(id, owner);
        }
      }
    }
  }

  bool IsOwnerUnavailable(const std::string& owner) const {
    const peer_state* peer = host_->peers().Find(owner);
    return peer == nullptr ||
           !host_->peers().IsLive(*peer, host_->time().Now()) ||
           peer->digest.draining;
  }

  /// \returns whether this worker ranks first for a job among the live ones.
  bool RanksFirst(const std::string& job) const {
    std::vector<std::string> names{host_->settings().name};
    for (const peer_state* peer :
         host_->peers().LivePeers(host_role::worker, host_->time().Now())) {
      names.push_back(peer->host.name);
    }
    return RendezvousTop(names, job, 1).front() == host_->settings().name;
  }

  asio::awaitable<void> TakeOverJob(std::string id, std::string owner) {
    const auto known = known_jobs_.find(id);
    if (known == known_jobs_.end() || known->second.record.owner != owner) {
      co_return;
    }
    fleet_job record = known->second.record;
    record.owner = host_->settings().name;
    ++record.owner_changes;
    const std::uint64_t last_revision = known->second.revision;
    const auto written = co_await host_->jobs().Update(record, last_revision);
    log_.Info("An attempt to take over a batch job ended.",
              {{"job", id},
               {"from", owner},
               {"revision", last_revision},
               {"outcome", written ? "taken" : written.error().message()}});
    if (written) {
      // A watch event may have removed or changed the job meanwhile.
      known_job& taken =
          known_jobs_.try_emplace(id, known_job{{}, 0, host_->time().Now()})
              .first->second;
      if (*written > taken.revision) {
        taken.record = record;
        taken.revision = *written;
      }
      runner_->AddOrUpdate({taken.record, taken.revision}, taken.first_seen,
                           false);
    }
  }

  /// Removes finished jobs whose results need not stay readable any longer.
  asio::awaitable<void> RunCleanupLoop() {
    while (true) {
      co_await SleepFor(kCleanupPeriod);
      const time_point now = host_->time().Now();
      std::vector<fleet_job> expired;
      for (const auto& [id, job] : known_jobs_) {
        // Measured by the monotonic clock, as wall time may jump.
        if (job.record.finished && job.record.owner == host_->settings().name &&
            now - job.first_seen >
                host_->settings().bounds.result_retention + kCleanupMargin) {
          expired.push_back(job.record);
        }
      }
      for (const fleet_job& record : expired) {
        const auto results = co_await host_->jobs().ReadResults(record.id);
        if (results) {
          log_.Info("An expired batch job is removed.", {{"job", record.id}});
          co_await host_->jobs().Remove(record, results->results);
        }
      }
    }
  }

  asio::awaitable<void> HandleInternal(http_exchange& exchange) {
    const auto body = co_await exchange.ReadBody(kMaxPageRequestBytes);
    const std::string& target = exchange.request().target;
    if (body && target == kJobChangedPath) {
      http_response response;
      co_await exchange.Send(std::move(response));
      co_await ReadChangedJob(*body);
    } else if (body && target == kJobPagePath) {
      co_await HandleJobPage(exchange, *body);
    } else {
      co_await exchange.Send(ErrorResponse(
          error::Make(error_kind::not_found, "unknown internal call"), ""));
    }
  }

  /// Reads a job whose change a gateway has announced.
  asio::awaitable<void> ReadChangedJob(std::string id) {
    const auto record = co_await host_->store().Get(job_store::kJobKind, id);
    if (!record) {
      // The change also arrives with the next changes from the store.
      log_.Warning("A changed batch job cannot be read.",
                   {{"job", id}, {"reason", record.error().message()}});
    } else if (*record) {
      ApplyJobRecord(**record, false);
    }
  }

  asio::awaitable<void> HandleJobPage(http_exchange& exchange,
                                      std::string_view body) {
    const auto page_request = Decode<job_page_request>(body);
    if (!page_request) {
      co_await exchange.Send(ErrorResponse(page_request.error(), ""));
      co_return;
    }
    http_response response;
    response.body = Encode(co_await ReadPage(*page_request));
    co_await exchange.Send(std::move(response));
  }

  asio::awaitable<job_page> ReadPage(job_page_request page_request) {
    const time_point wait_end = host_->time().Now() + page_request.wait;
    job_page page;
    while (true) {
      owned_job* job = runner_->Find(page_request.job);
      if (job == nullptr || !job->loaded ||
          job->stored.record.account != page_request.account) {
        co_return page;
      }
      const bool has_more =
          page_request.after < static_cast<std::int64_t>(job->persisted.size());
      const bool final = job->stored.record.finished;
      const time_point now = host_->time().Now();
      if (has_more || final || now >= wait_end) {
        // An empty page is only certain while the lease excludes another owner.
        if (!has_more && !final && !lease_->IsHeld()) {
          co_return page;
        }
        page.state = job_page_state::known;
        page.total = job->stored.record.total;
        page.results = SliceResults(
            job->persisted, static_cast<std::size_t>(page_request.after),
            kMaxPageBytes);
        co_return page;
      }
      co_await job->results_changed->Wait(wait_end - now);
    }
  }

  /// Stops the items, stores finished results and releases the lease, so that
  /// other workers take over the jobs.
  asio::awaitable<void> HandOver() {
    host_->StartDraining();
    runner_->StopAll();
    while (!runner_->idle()) {
      co_await SleepFor(kStopPollInterval);
    }
    co_await lease_->Release();
  }

  void StartEvacuation() {
    if (evacuating_) {
      return;
    }
    evacuating_ = true;
    log_.Info("The evacuation of the host starts.");
    asio::co_spawn(host_->traffic(), Evacuate(), kEndOnException);
  }

  bool CanEvacuate() const {
    std::set<std::string> live_workers;
    for (const peer_state* peer :
         host_->peers().LivePeers(host_role::worker, host_->time().Now())) {
      live_workers.insert(peer->host.name);
    }
    return MayEvacuate(host_->settings().name, live_workers,
                       hosts_to_evacuate_);
  }

  asio::awaitable<void> Evacuate() {
    co_await ReportEvacuation(false);
    bool warned = false;
    while (!CanEvacuate()) {
      if (!std::exchange(warned, true)) {
        log_.Warning(
            "The evacuation waits: no other worker can take over the jobs.",
            {{"to_leave", hosts_to_evacuate_.size()}});
      }
      co_await SleepFor(kEvacuationPollInterval);
      if (!hosts_to_evacuate_.contains(host_->settings().name)) {
        log_.Info("The evacuation was cancelled.");
        evacuating_ = false;
        co_return;
      }
    }
    co_await HandOver();
    co_await ReportEvacuation(true);
    log_.Info("The evacuation of the host is complete.");
  }

  asio::awaitable<void> ReportEvacuation(bool completed) {
    backoff delay(kInitialRetryDelay, kMaxRetryDelay,
                  Hash64(host_->settings().name));
    while (true) {
      const auto reported = co_await host_->store().SetStatus(
          host_->codec().evacuation_kind(), host_->settings().name,
          host_->codec().EvacuationStatus(completed));
      if (reported || reported.error().kind() == error_kind::not_found) {
        co_return;
      }
      log_.Warning("The status of the evacuation cannot be stored.",
                   {{"reason", reported.error().message()}});
      co_await SleepFor(delay.Next());
    }
  }

  std::unique_ptr<host_runtime> host_;
  std::unique_ptr<job_runner> runner_;
  std::unique_ptr<worker_lease> lease_;
  std::unique_ptr<object_follower> job_follower_;
  std::unique_ptr<object_follower> evacuation_follower_;
  std::map<std::string, known_job> known_jobs_;
  /// Revision of the store at which this process first listed all jobs.
  std::optional<std::uint64_t> listed_revision_;
  part_log log_{"worker"};
  bool evacuating_ = false;
  time_point last_pass_;
  bool pass_pending_ = false;
  /// Hosts that the operator has marked for evacuation.
  std::set<std::string> hosts_to_evacuate_;
};

}  // namespace

result<std::unique_ptr<worker>> worker::Create(host_settings settings,
                                               platform_services services) {
  return worker_impl::Create(std::move(settings), std::move(services));
}

}  // namespace cardamomyard
