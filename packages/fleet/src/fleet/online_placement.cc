#include "src/fleet/online_placement.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>

#include "cardamomyard/routing.h"

namespace cardamomyard {
namespace {

// Assumed until a service has answered.
constexpr double kInitialServiceTimeMs = 200;
// Weight of a new observation in the moving average, which spans about the
// last twenty.
constexpr double kObservationWeight = 0.05;
// Load of a batch item in online requests: an online request that preempts it
// waits only a short time.
constexpr double kBatchItemLoad = 0.3;
// Handicaps are stated for servers with this many slots.
constexpr double kUsualSlots = 8;
// A server of this host's zone is preferred when it is at most this much
// busier.
constexpr double kOtherZoneLoad = 0.4;
// Steers requests to the servers whose primary host is this one.
constexpr double kNonPrimaryLoad = 0.8;
// Preferred to a server without registration, which is mostly dead.
constexpr double kMayLeaveLoad = 500;
constexpr double kUnregisteredLoad = 1000;
// Refused callers return spread over this time, about one burst.
constexpr double kRetryJitterMs = 900;
constexpr double kMinRetryAfterMs = 250;
// Servers compared in a fleet of more than kMaxCompared: as many as a host of a
// mid-sized fleet compares, so that a decision costs about the same.
constexpr std::size_t kComparedPrimaries = 6;
constexpr std::size_t kComparedAtRandom = 16;

}  // namespace

std::chrono::milliseconds ExpectedWait(const backend_status& server,
                                       std::chrono::milliseconds service_time) {
  const int slots = std::max(1, server.entry.slots);
  const int ahead = server.online + 1 - slots;
  if (ahead <= 0) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(service_time.count()) * ahead / server.capacity()));
}

online_placement::online_placement(std::string self,
                                   std::string zone,
                                   std::uint64_t seed)
    : self_(std::move(self)), zone_(std::move(zone)), random_(seed) {
  ranks_.SetHosts({self_});
}

bool placement_rules::HasRoom(const backend_status& server,
                              time_point now) const {
  return !server.cold || cold == nullptr || cold_rate_per_s <= 0 ||
         cold->MaySend(server.entry.id, cold_rate_per_s, now);
}

void online_placement::SetHosts(std::vector<std::string> hosts) {
  ranks_.SetHosts(std::move(hosts));
}

bool online_placement::IsPrimaryFor(const std::string& backend) {
  return ranks_.Of(backend).first == self_;
}

void online_placement::SelectCandidates(
    const std::string& service,
    const std::vector<backend_status>& servers,
    std::uint64_t pool_version) {
  if (servers.size() <= kMaxCompared) {
    candidates_.resize(servers.size());
    std::iota(candidates_.begin(), candidates_.end(), std::size_t{0});
    return;
  }
  primary_servers& own = primaries_[service];
  if (own.pool_version != pool_version ||
      own.hosts_version != ranks_.version()) {
    own.pool_version = pool_version;
    own.hosts_version = ranks_.version();
    own.positions.clear();
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (IsPrimaryFor(servers[i].entry.id)) {
        own.positions.push_back(i);
      }
    }
  }
  candidates_.clear();
  const std::size_t primaries =
      std::min(own.positions.size(), kComparedPrimaries);
  const std::size_t start = own.positions.empty() ? 0 : random_();
  for (std::size_t i = 0; i < primaries; ++i) {
    candidates_.push_back(own.positions[(start + i) % own.positions.size()]);
  }
  for (std::size_t i = 0; i < kComparedAtRandom; ++i) {
    candidates_.push_back(random_() % servers.size());
  }
}

placement online_placement::Choose(backend_pool& pool,
                                   const std::string& service,
                                   const std::set<std::string>& excluded,
                                   std::chrono::milliseconds max_queue_wait,
                                   time_point now,
                                   const placement_rules& rules) {
  const std::vector<backend_status>& servers = pool.Status(service, now);
  SelectCandidates(service, servers, pool.version());
  placement chosen = ChooseAmongCandidates(servers, service, excluded,
                                           max_queue_wait, now, rules);
  if (std::holds_alternative<no_usable_backend>(chosen) &&
      candidates_.size() < servers.size()) {
    // All of the sample were excluded.
    candidates_.resize(servers.size());
    std::iota(candidates_.begin(), candidates_.end(), std::size_t{0});
    chosen = ChooseAmongCandidates(servers, service, excluded, max_queue_wait,
                                   now, rules);
  }
  return chosen;
}

placement online_placement::ChooseAmongCandidates(
    const std::vector<backend_status>& servers,
    const std::string& service,
    const std::set<std::string>& excluded,
    std::chrono::milliseconds max_queue_wait,
    time_point now,
    const placement_rules& rules) {
  const std::chrono::milliseconds service_time = ServiceTime(service);
  std::optional<std::chrono::milliseconds> shortest_wait;
  const auto may_be_used = [&](const backend_status& server) {
    return !excluded.contains(server.entry.id) && rules.AllowZone(server);
  };
  // When all servers are in backoff, a failed one is still better than none.
  const bool all_in_backoff =
      std::all_of(candidates_.begin(), candidates_.end(), [&](std::size_t i) {
        return servers[i].in_backoff || !may_be_used(servers[i]) ||
               !rules.HasRoom(servers[i], now);
      });
  eligible_.clear();
  for (const std::size_t candidate : candidates_) {
    const backend_status& server = servers[candidate];
    if (!may_be_used(server)) {
      continue;
    }
    const std::chrono::milliseconds wait = ExpectedWait(server, service_time);
    shortest_wait = shortest_wait ? std::min(*shortest_wait, wait) : wait;
    if ((server.in_backoff && !all_in_backoff) || wait > max_queue_wait ||
        (wait.count() > 0 && !IsPrimaryFor(server.entry.id)) ||
        !rules.HasRoom(server, now)) {
      continue;
    }
    eligible_.push_back(&server);
  }
  const backend_status* best = report_age_
                                   ? ChooseEvenlyAmong(eligible_, service_time)
                                   : ChooseLeastLoaded(eligible_);
  if (best != nullptr) {
    return chosen_backend{*best, ExpectedWait(*best, service_time)};
  }
  if (shortest_wait) {
    return all_backends_busy{*shortest_wait};
  }
  return no_usable_backend{};
}

double online_placement::Handicap(const backend_status& server) const {
  return (server.entry.zone == zone_ ? 0 : kOtherZoneLoad) +
         (server.unregistered ? kUnregisteredLoad : 0) +
         (server.may_leave ? kMayLeaveLoad : 0);
}

const backend_status* online_placement::ChooseLeastLoaded(
    const std::vector<const backend_status*>& servers) {
  std::uniform_real_distribution<double> tie_breaker(0, 0.1);
  const backend_status* best = nullptr;
  double best_load = std::numeric_limits<double>::max();
  for (const backend_status* server : servers) {
    const double load = (server->online + kBatchItemLoad * server->batch) *
                            (kUsualSlots / server->capacity()) +
                        Handicap(*server) +
                        (IsPrimaryFor(server->entry.id) ? 0 : kNonPrimaryLoad) +
                        tie_breaker(random_);
    if (load < best_load) {
      best_load = load;
      best = server;
    }
  }
  return best;
}

const backend_status* online_placement::ChooseEvenlyAmong(
    const std::vector<const backend_status*>& servers,
    std::chrono::milliseconds service_time) {
  const bool any_free =
      std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        return ExpectedWait(*server, service_time).count() == 0;
      });
  std::vector<const backend_status*> considered;
  std::vector<server_load> loads;
  for (const backend_status* server : servers) {
    if (any_free && ExpectedWait(*server, service_time).count() > 0) {
      continue;
    }
    considered.push_back(server);
    // Batch items run longer than reports are old.
    loads.push_back({server->own_online + kBatchItemLoad * server->batch,
                     static_cast<double>(server->online - server->own_online),
                     server->capacity(), Handicap(*server) / kUsualSlots});
  }
  const auto chosen =
      ChooseEvenly(loads, {*report_age_, service_time}, random_);
  return chosen ? considered[*chosen] : nullptr;
}

const std::string& online_placement::PickService(const service_route& route) {
  double total = 0;
  for (const service_share& share : route.services) {
    total += std::max(0.0, share.weight);
  }
  double remaining = std::uniform_real_distribution<double>(0, total)(random_);
  for (const service_share& share : route.services) {
    remaining -= std::max(0.0, share.weight);
    if (remaining < 0) {
      return share.service;
    }
  }
  return route.services.front().service;
}

void online_placement::ObserveServiceTime(
    const std::string& service,
    std::chrono::milliseconds service_time) {
  const auto [found, first] = service_time_ms_.try_emplace(
      service, static_cast<double>(service_time.count()));
  if (!first) {
    found->second +=
        kObservationWeight *
        (static_cast<double>(service_time.count()) - found->second);
  }
}

std::chrono::milliseconds online_placement::ServiceTime(
    const std::string& service) const {
  const auto found = service_time_ms_.find(service);
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      found == service_time_ms_.end() ? kInitialServiceTimeMs : found->second));
}

std::chrono::milliseconds online_placement::RetryAfter(
    std::chrono::milliseconds expected_wait,
    std::chrono::milliseconds max_queue_wait) {
  const double excess =
      static_cast<double>((expected_wait - max_queue_wait).count());
  std::uniform_real_distribution<double> jitter(0, kRetryJitterMs);
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      std::max(kMinRetryAfterMs, excess) + jitter(random_)));
}

}  // namespace cardamomyard
