#include "src/gateway/job_runner.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kInitialRetryDelay{80};
constexpr std::chrono::milliseconds kMaxRetryDelay{1000};
constexpr std::size_t kLoadPageBytes = 4U << 20U;

// How long an item waits whose job may only use servers that are not free.
constexpr std::chrono::milliseconds kRestrictedItemPause{100};

}  // namespace

job_runner::job_runner(host_runtime& host)
    : host_(&host), placement_(host.settings().name) {}

owned_job* job_runner::Find(const std::string& job) {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : found->second.get();
}

bool job_runner::has_open_jobs() const {
  return std::any_of(jobs_.begin(), jobs_.end(), [](const auto& job) {
    return !job.second->stored.record.finished;
  });
}

bool job_runner::idle() const {
  return active_items_.empty() &&
         std::none_of(jobs_.begin(), jobs_.end(), [](const auto& job) {
           return job.second->flushing || !job.second->unstored.empty();
         });
}

void job_runner::AddOrUpdate(stored_job job,
                             time_point first_seen,
                             bool is_new) {
  const std::string id = job.record.id;
  owned_job* owned = Find(id);
  if (owned == nullptr) {
    if (job.record.finished || stopping_) {
      return;
    }
    auto created = std::make_unique<owned_job>();
    created->stored = std::move(job);
    created->first_seen = first_seen;
    created->is_new = is_new;
    created->results_changed =
        std::make_unique<change_signal>(host_->traffic());
    jobs_[id] = std::move(created);
    asio::co_spawn(host_->traffic(), Load(id), kEndOnException);
    return;
  }
  if (job.revision <= owned->stored.revision) {
    return;
  }
  owned->stored = std::move(job);
  if (owned->stored.record.cancelled) {
    StopCancelled(*owned);
  }
}

void job_runner::Drop(const std::string& job) {
  if (jobs_.erase(job) == 0) {
    return;
  }
  log_.Info("A batch job is no longer owned by this worker.", {{"job", job}});
  queue_.RemoveJob(job);
  for (const auto& [name, run] : active_items_) {
    if (name.first == job) {
      run->Stop();
    }
  }
}

void job_runner::StopAll() {
  stopping_ = true;
  for (const auto& [name, run] : active_items_) {
    run->Stop();
  }
}

asio::awaitable<void> job_runner::Load(std::string job) {
  backoff delay(kInitialRetryDelay, kMaxRetryDelay, Hash64(job));
  while (true) {
    owned_job* owned = Find(job);
    if (owned == nullptr) {
      co_return;
    }
    // The limits of the items come from their route in the configuration.
    if (host_->current_inventory().configuration() == nullptr) {
      co_await SleepFor(kInitialRetryDelay);
      continue;
    }
    auto input = co_await host_->jobs().ReadInput(owned->stored.record);
    // Not a conditional expression with co_await: g++ 12 destroys its operands
    // twice.
    result<stored_results> results = stored_results{};
    if (!owned->is_new) {
      results = co_await host_->jobs().FenceResults(job);
    }
    std::vector<job_item_result> persisted;
    error cause = error::Make(error_kind::store_unavailable, "");
    bool complete = input && results;
    while (complete && static_cast<std::int64_t>(persisted.size()) <
                           results->results.count()) {
      auto page = co_await host_->jobs().ReadFrom(
          job, results->results, static_cast<std::int64_t>(persisted.size()),
          kLoadPageBytes);
      if (!page || page->empty()) {
        complete = false;
        cause = page
                    ? error::Make(error_kind::internal,
                                  "the store returned an empty page of results")
                    : page.error();
        break;
      }
      std::move(page->begin(), page->end(), std::back_inserter(persisted));
    }
    owned = Find(job);
    if (owned == nullptr) {
      co_return;
    }
    if (complete) {
      owned->input = std::make_shared<const job_input>(std::move(*input));
      owned->results = std::move(*results);
      owned->persisted = std::move(persisted);
      for (const job_item_result& entry : owned->persisted) {
        owned->settled.insert(entry.item);
      }
      owned->loaded = true;
      log_.Info("A batch job is loaded.",
                {{"job", job},
                 {"items", owned->stored.record.total},
                 {"listed", owned->persisted.size()},
                 {"revision", owned->stored.revision}});
      EnqueueOpenItems(*owned);
      if (owned->stored.record.cancelled) {
        StopCancelled(*owned);
      } else if (owned->persisted.size() == owned->input->items.size()) {
        co_await Finish(job);
      }
      Schedule();
      co_return;
    }
    log_.Warning("A batch job cannot be loaded yet.",
                 {{"job", job},
                  {"reason", !input     ? input.error().message()
                             : !results ? results.error().message()
                                        : cause.message()}});
    co_await SleepFor(delay.Next());
  }
}

void job_runner::EnqueueOpenItems(owned_job& job) {
  job.age.first_seen = job.first_seen;
  job.age.now = host_->time().Now();
  job.age.by_wall_time =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          host_->time().WallNow().time_since_epoch()) -
      std::chrono::milliseconds(job.stored.record.submitted_unix_ms);
  job.due = LimitsOfItems(job).due;
  for (std::size_t i = 0; i < job.input->items.size(); ++i) {
    if (!job.settled.contains(job.input->items[i].id)) {
      queue_.Add(OpenItem(job, i));
    }
  }
}

queued_item job_runner::OpenItem(const owned_job& job,
                                 std::size_t index) const {
  queued_item open;
  open.job = job.stored.record.id;
  open.item = job.input->items[index].id;
  open.route = job.stored.record.route;
  open.index = index;
  open.limits = LimitsOfItems(job);
  return open;
}

const service_route* job_runner::RouteOf(const owned_job& job) const {
  const auto configuration = host_->current_inventory().configuration();
  // The inventory keeps the configuration alive until the next one.
  return configuration ? configuration->FindRoute(job.stored.record.route)
                       : nullptr;
}

item_limits job_runner::LimitsOfItems(const owned_job& job) const {
  const service_route* route = RouteOf(job);
  return route != nullptr
             ? LimitsOf({route->max_attempts, route->completion_objective,
                         route->retention},
                        job.age)
             : LimitsOf({}, job.age);
}

void job_runner::UpdateLimits() {
  for (const auto& [id, job] : jobs_) {
    if (job->loaded && RouteOf(*job) != nullptr) {
      const item_limits limits = LimitsOfItems(*job);
      job->due = limits.due;
      queue_.SetLimits(id, limits);
    }
  }
}

void job_runner::StopCancelled(owned_job& job) {
  const std::string id = job.stored.record.id;
  log_.Info("A cancelled batch job is stopped.",
            {{"job", id}, {"revision", job.stored.revision}});
  queue_.RemoveJob(id);
  for (const auto& [name, run] : active_items_) {
    if (name.first == id) {
      run->Stop();
    }
  }
  if (job.loaded && !job.stored.record.finished) {
    asio::co_spawn(host_->traffic(), Finish(id), kEndOnException);
  }
}

void job_runner::Schedule() {
  if (stopping_) {
    return;
  }
  const time_point now = host_->time().Now();
  FailExpiredItems(now);
  const auto configuration = host_->current_inventory().configuration();
  if (configuration == nullptr) {
    return;
  }
  std::set<std::string> services;
  for (const service_route& route : configuration->routes()) {
    if (route.kind == route_kind::batch) {
      for (const service_share& share : route.services) {
        services.insert(share.service);
      }
    }
  }
  for (const std::string& service : services) {
    const auto& servers = host_->pool().Status(service, now);
    placement_.Observe(servers, now);
    StopExcess(servers);
  }
  schedule_pass pass{now, LiveWorkers(now), {}, {}};
  while (HandleNextItem(pass)) {
  }
}

std::chrono::milliseconds job_runner::TightestObjective(
    const service_map& configuration,
    const std::string& service) {
  std::chrono::milliseconds tightest = batch_placement::kTightObjective;
  for (const service_route& route : configuration.routes()) {
    const bool shares = std::any_of(
        route.services.begin(), route.services.end(),
        [&service](const service_share& s) { return s.service == service; });
    if (shares && route.kind != route_kind::batch &&
        route.latency_objective.count() > 0) {
      tightest = std::min(tightest, route.latency_objective);
    }
  }
  return tightest;
}

std::vector<std::string> job_runner::LiveWorkers(time_point now) const {
  std::vector<std::string> names{host_->settings().name};
  for (const peer_state* peer :
       host_->peers().LivePeers(host_role::worker, now)) {
    names.push_back(peer->host.name);
  }
  return names;
}

void job_runner::StopExcess(const std::vector<backend_status>& servers) {
  for (const backend_status& server : servers) {
    int excess = placement_.ItemsToPreempt(server);
    if (excess <= 0) {
      continue;
    }
    std::vector<std::pair<const queued_item*, active_item*>> candidates;
    for (const auto& [name, run] : active_items_) {
      const queued_item* item = queue_.Find(name.first, name.second);
      if (run->backend.id == server.entry.id && item != nullptr) {
        if (run->stopped) {
          // A stopped run occupies its slot until its connection is closed.
          --excess;
        } else {
          candidates.emplace_back(item, run.get());
        }
      }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& a, const auto& b) {
                return item_queue::PreemptedBefore(*a.first, *b.first);
              });
    for (int i = 0; i < excess && i < static_cast<int>(candidates.size());
         ++i) {
      log_.Info("A batch item is stopped to free a slot.",
                {{"job", candidates[i].second->job},
                 {"item", candidates[i].second->item},
                 {"backend", server.entry.id},
                 {"online", server.online},
                 {"batch", server.batch},
                 {"slots", server.entry.slots}});
      candidates[i].second->Stop();
    }
  }
}

std::optional<backend_status> job_runner::ChooseServer(
    const service_route& route,
    const allowed_zones& zones,
    schedule_pass& pass) {
  const auto configuration = host_->current_inventory().configuration();
  for (const std::string& service :
       ServicesInTurn(route.services, next_service_++)) {
    if (pass.full_services.contains(service)) {
      continue;
    }
    const int reserve =
        batch_placement::Reserve(TightestObjective(*configuration, service));
    const auto& servers = host_->pool().Status(service, pass.now);
    auto server = placement_.Choose(servers, pass.workers, reserve, pass.now,
                                    zones ? &*zones : nullptr);
    if (server) {
      return server;
    }
    if (!zones) {
      pass.full_services.insert(service);
    }
  }
  return std::nullopt;
}

void job_runner::HoldFullRoutes(schedule_pass& pass) const {
  const auto configuration = host_->current_inventory().configuration();
  for (const service_route& route : configuration->routes()) {
    const auto services = ServicesInTurn(route.services, 0);
    if (route.kind == route_kind::batch &&
        std::all_of(services.begin(), services.end(),
                    [&pass](const std::string& service) {
                      return pass.full_services.contains(service);
                    })) {
      pass.held_routes.insert(route.name);
    }
  }
}

bool job_runner::HandleNextItem(schedule_pass& pass) {
  queued_item* item = queue_.TakeNext(pass.now, pass.held_routes);
  if (item == nullptr) {
    return false;
  }
  owned_job* job = Find(item->job);
  if (job == nullptr) {
    queue_.RemoveJob(item->job);
    return true;
  }
  const service_route* route = RouteOf(*job);
  if (route == nullptr) {
    item->running = false;
    HandleMissingRoute(*job, pass);
    return true;
  }
  job->route_missing = false;
  const auto configuration = host_->current_inventory().configuration();
  const allowed_zones zones = AllowedZones(
      *route, configuration->FindAccount(job->stored.record.account),
      host_->settings().region_of_zone);
  const auto backend = ChooseServer(*route, zones, pass);
  if (!backend && zones) {
    // Other jobs of the route may use other servers.
    item->running = false;
    item->not_before = pass.now + kRestrictedItemPause;
    return true;
  }
  if (!backend) {
    item->running = false;
    pass.held_routes.insert(route->name);
    HoldFullRoutes(pass);
    return true;
  }
  auto run = std::make_shared<active_item>();
  run->job = item->job;
  run->item = item->item;
  run->backend = backend->entry;
  run->canceller = std::make_shared<call_canceller>();
  active_items_[{item->job, item->item}] = run;
  placement_.RecordStart(run->backend.id, pass.now);
  log_.Info(
      "A batch item goes to a server.",
      {{"job", item->job},
       {"item", item->item},
       {"backend", run->backend.id},
       {"from_event", item->last_event},
       {"online", backend->online},
       {"batch", backend->batch},
       {"slots", run->backend.slots},
       {"load_age_ms", host_->peers().OldestDigestAge(pass.now).count()}});
  host_->RecordStart(run->backend.id, work_class::batch);
  asio::co_spawn(
      host_->traffic(),
      Run(std::move(run), job->input, &job->input->items[item->index], *item,
          route->host, job->stored.record.account),
      kEndOnException);
  return true;
}

void job_runner::HandleMissingRoute(owned_job& job, schedule_pass& pass) {
  const inventory& known = host_->current_inventory();
  const std::string id = job.stored.record.id;
  const std::string& route = job.stored.record.route;
  if (StateOfRoute(false, known.configuration_read(), job.first_seen) ==
      route_state::removed) {
    const std::vector<std::string> items = queue_.Waiting(id);
    log_.Warning("The route of a batch job was removed.",
                 {{"job", id},
                  {"items", items.size()},
                  {"route", route},
                  {"configuration", known.configuration()->version()}});
    for (const std::string& item : items) {
      RecordResult(job, {item, false, ""});
    }
    return;
  }
  pass.held_routes.insert(route);
  if (!std::exchange(job.route_missing, true)) {
    log_.Info("A batch job waits until its route is known.",
              {{"job", id},
               {"route", route},
               {"configuration", known.configuration()->version()}});
  }
  if (!std::exchange(reading_configuration_, true)) {
    asio::co_spawn(host_->traffic(), ReadConfiguration(), kEndOnException);
  }
}

asio::awaitable<void> job_runner::ReadConfiguration() {
  const bool is_current =
      co_await host_->current_inventory().ReadConfiguration();
  if (!is_current) {
    co_await SleepFor(kMaxRetryDelay);
  }
  reading_configuration_ = false;
}

asio::awaitable<void> job_runner::Run(
    std::shared_ptr<active_item> run,
    // Keeps \p item valid when its job is dropped during the run.
    [[maybe_unused]] std::shared_ptr<const job_input> input,
    const job_item* item,
    queued_item progress,
    std::string route_host,
    std::string account) {
  const time_point began = host_->time().Now();
  const std::int64_t first_event = progress.last_event;
  item_run_result run_result =
      co_await RunItem(*host_, run, *item, std::move(progress),
                       std::move(route_host), std::move(account));
  const time_point now = host_->time().Now();
  host_->RecordEnd(run->backend.id, work_class::batch);
  if (run_result.server_failed) {
    host_->pool().RecordFailure(run->backend.id, now);
  } else if (run_result.ending == item_run_outcome::refused) {
    host_->pool().RecordOverload(run->backend.id, now);
  } else if (run_result.ending == item_run_outcome::completed) {
    host_->pool().RecordSuccess(run->backend.id);
  }
  const auto entry = active_items_.find({run->job, run->item});
  if (entry != active_items_.end() && entry->second == run) {
    active_items_.erase(entry);
  }
  log_.Info(
      "A run of a batch item ended.",
      {{"job", run->job},
       {"item", run->item},
       {"backend", run->backend.id},
       {"status", run_result.status},
       {"ending", Name(run_result.ending)},
       {"from_event", first_event},
       {"last_event", run_result.last_event},
       {"stopped", run->stopped ? "yes" : "no"},
       {"reason", run_result.reason},
       {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - began)
                  .count()}});
  queued_item* open = queue_.Find(run->job, run->item);
  owned_job* job = Find(run->job);
  if (open != nullptr && job != nullptr) {
    const bool progressed = run_result.last_event > open->last_event;
    open->text = std::move(run_result.text);
    open->last_event = run_result.last_event;
    open->any_event = run_result.any_event;
    const auto finished = queue_.RecordOutcome(
        *open, run_result.ending, progressed || !run_result.server_failed, now);
    if (finished) {
      RecordResult(*job, {run->item, *finished,
                          *finished ? std::move(open->text) : std::string()});
    }
  }
  Schedule();
}

void job_runner::FailExpiredItems(time_point now) {
  for (queued_item* item : queue_.Expired(now)) {
    if (owned_job* job = Find(item->job)) {
      log_.Warning("A batch item is given up after its retention.",
                   {{"job", item->job},
                    {"item", item->item},
                    {"failures", item->failures}});
      RecordResult(*job, {item->item, false, ""});
    }
  }
}

std::vector<batch_backlog> job_runner::Backlogs() const {
  std::map<std::pair<std::string, std::string>, std::int64_t> sums;
  for (const auto& [id, job] : jobs_) {
    const fleet_job& record = job->stored.record;
    if (record.finished || record.cancelled) {
      continue;
    }
    std::int64_t tokens = record.tokens;
    if (job->loaded) {
      tokens = 0;
      for (const job_item& item : job->input->items) {
        tokens += job->settled.contains(item.id) ? 0 : item.tokens;
      }
    }
    sums[{record.account, record.route}] += tokens;
  }
  std::vector<batch_backlog> backlogs;
  backlogs.reserve(sums.size());
  for (const auto& [name, tokens] : sums) {
    backlogs.push_back({name.first, name.second, tokens});
  }
  return backlogs;
}

}  // namespace cardamomyard
