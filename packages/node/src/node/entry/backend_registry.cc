#include "src/node/entry/backend_registry.h"

#include <charconv>
#include <set>
#include <utility>

#include "cardamomyard/telemetry.h"

namespace cardamomyard {
namespace {

// The host list lags; a host that is missing from it for longer counts as
// removed.
constexpr std::chrono::seconds kHostListLag{30};

constexpr part_log kLog("backends");

backend_report ToReport(const heartbeat& message) {
  backend_report report;
  report.id = message.id;
  report.deployment = message.deployment;
  report.zone = message.zone;
  report.address = message.address;
  report.incarnation = static_cast<std::uint64_t>(message.incarnation);
  report.sequence = static_cast<std::uint64_t>(message.sequence);
  report.state = static_cast<backend_state>(message.state);
  report.free_online_slots = message.free_online_slots;
  report.queue_length = message.queue_length;
  report.step_time = message.step_time;
  report.prefix_digests = message.prefix_digests;
  report.generation = static_cast<std::uint64_t>(message.generation);
  return report;
}

backend_candidate ToCandidate(const backend_report& report, time_point heard) {
  backend_candidate candidate;
  candidate.id = report.id;
  candidate.zone = report.zone;
  candidate.address = report.address;
  candidate.free_slots = report.free_online_slots;
  candidate.queue_length = report.queue_length;
  candidate.step_time = report.step_time;
  candidate.prefix_digests = report.prefix_digests;
  candidate.report_time = heard;
  return candidate;
}

}  // namespace

backend_registry::backend_registry(process_context& context)
    : context_(&context),
      view_(kHostListLag),
      random_(Hash64(context.settings().id,
                     static_cast<std::uint64_t>(context.incarnation()))) {}

void backend_registry::OnHeartbeat(const heartbeat& message) {
  const bool known_state =
      message.state >= 0 &&
      message.state <= static_cast<std::int32_t>(backend_state::down);
  if (!known_state) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    if (!view_.ApplyHeartbeat(ToReport(message), context_->time().Now())) {
      return;
    }
    last_heartbeats_[message.id] = {message, context_->time().Now()};
  }
  if (message.state != static_cast<std::int32_t>(backend_state::serving)) {
    Refresh();
  }
}

void backend_registry::OnLeaving(const std::string& id,
                                 const std::string& incarnation) {
  std::uint64_t number = 0;
  const char* const end = incarnation.data() + incarnation.size();
  if (const auto [read, status] =
          std::from_chars(incarnation.data(), end, number);
      status != std::errc() || read != end) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    if (!view_.AnnounceLeaving(id, number, context_->time().Now())) {
      return;
    }
  }
  kLog.Info("A backend server announced that it leaves.",
            {{"backend", id}, {"incarnation", number}, {"source", "answer"}});
  Refresh();
}

void backend_registry::OnHostList(const std::vector<listed_host>& hosts) {
  std::set<std::string> live;
  std::set<std::string> leaving;
  for (const listed_host& host : hosts) {
    (host.leaving ? leaving : live).insert(host.id);
  }
  const std::lock_guard lock(mutex_);
  view_.ApplyHostList(live, leaving, context_->time().Now());
}

void backend_registry::Refresh() {
  const std::lock_guard lock(mutex_);
  const time_point now = context_->time().Now();
  const auto usable = view_.UsableBackends(now);
  for (auto& [deployment, set] : candidate_sets_) {
    if (usable->count(deployment) == 0) {
      set = candidate_set::Make({}, set.get());
      RouterOf(deployment).Update(set);
      ReportUsableCount(deployment, 0);
    }
  }
  for (const auto& [deployment, reports] : *usable) {
    std::vector<backend_candidate> candidates;
    candidates.reserve(reports.size());
    for (const backend_report& report : reports) {
      candidates.push_back(
          ToCandidate(report, last_heartbeats_.at(report.id).at));
    }
    auto& set = candidate_sets_[deployment];
    set = candidate_set::Make(std::move(candidates), set.get());
    RouterOf(deployment).Update(set);
    ReportUsableCount(deployment, reports.size());
  }
}

void backend_registry::ReportUsableCount(const std::string& deployment,
                                         std::size_t count) {
  context_->metrics()
      .Gauge("cardamomyard_backends_usable", {{"deployment", deployment}})
      .Set(static_cast<std::int64_t>(count));
}

router backend_registry::MakeRouter() const {
  if (context_->settings().policy == policy_kind::naive) {
    return router(round_robin_router());
  }
  return router(affinity_router(context_->settings().zone));
}

router& backend_registry::RouterOf(const std::string& deployment) {
  const auto found = routers_.find(deployment);
  if (found != routers_.end()) {
    return found->second;
  }
  return routers_.emplace(deployment, MakeRouter()).first->second;
}

result<routing_choice> backend_registry::Choose(
    const std::string& deployment,
    std::uint64_t prefix_hash,
    const std::vector<std::string>& excluded) {
  const std::lock_guard lock(mutex_);
  if (candidate_sets_.count(deployment) == 0) {
    return Fail(error_kind::no_backend,
                "no backend server of " + deployment + " is usable");
  }
  const time_point now = context_->time().Now();
  router& chosen = RouterOf(deployment);
  auto choice = chosen.Choose(prefix_hash, excluded, now, random_);
  if (choice) {
    chosen.RecordSent(choice->id, now);
  }
  return choice;
}

void backend_registry::Finished(const std::string& deployment,
                                const std::string& id) {
  const std::lock_guard lock(mutex_);
  RouterOf(deployment).RecordFinished(id, context_->time().Now());
}

backend_snapshot backend_registry::Usable() const {
  const std::lock_guard lock(mutex_);
  return *view_.UsableBackends(context_->time().Now());
}

std::vector<backend_registry::heard_heartbeat> backend_registry::Heard() const {
  const std::lock_guard lock(mutex_);
  std::vector<heard_heartbeat> all;
  for (const auto& [id, heard] : last_heartbeats_) {
    all.push_back(heard);
  }
  return all;
}

std::vector<heartbeat> backend_registry::Heartbeats() const {
  const std::lock_guard lock(mutex_);
  std::vector<heartbeat> all;
  for (const auto& [id, heard] : last_heartbeats_) {
    all.push_back(heard.message);
  }
  return all;
}

}  // namespace cardamomyard
