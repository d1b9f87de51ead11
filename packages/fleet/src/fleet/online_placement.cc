#include "src/fleet/online_placement.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

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

}  // namespace

std::chrono::milliseconds ExpectedWait(const backend_status& server,
                                       std::chrono::milliseconds service_time) {
  const int slots = std::max(1, server.entry.slots);
  const int ahead = server.online + 1 - slots;
  if (ahead <= 0) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(service_time.count() * ahead / slots);
}

online_placement::online_placement(std::string self,
                                   std::string zone,
                                   std::uint64_t seed)
    : self_(std::move(self)),
      hosts_{self_},
      zone_(std::move(zone)),
      random_(seed) {}

void online_placement::SetHosts(std::vector<std::string> hosts) {
  if (hosts != hosts_) {
    hosts_ = std::move(hosts);
    is_primary_.clear();
  }
}

bool online_placement::IsPrimaryFor(const std::string& backend) {
  const auto [found, added] = is_primary_.try_emplace(backend, false);
  if (added) {
    found->second = RendezvousTop(hosts_, backend, 1).front() == self_;
  }
  return found->second;
}

placement online_placement::Choose(const backend_pool& pool,
                                   const std::string& service,
                                   const std::set<std::string>& excluded,
                                   std::chrono::milliseconds max_queue_wait,
                                   time_point now) {
  const std::chrono::milliseconds service_time = ServiceTime(service);
  std::uniform_real_distribution<double> tie_breaker(0, 0.1);
  std::optional<backend_status> best;
  double best_load = std::numeric_limits<double>::max();
  std::optional<std::chrono::milliseconds> shortest_wait;
  std::vector<backend_status> servers = pool.Status(service, now);
  // When all servers are in backoff, a failed one is still better than none.
  const bool all_in_backoff =
      std::all_of(servers.begin(), servers.end(), [&](const auto& server) {
        return server.in_backoff || excluded.contains(server.entry.id);
      });
  for (backend_status& server : servers) {
    if (excluded.contains(server.entry.id)) {
      continue;
    }
    const std::chrono::milliseconds wait = ExpectedWait(server, service_time);
    shortest_wait = shortest_wait ? std::min(*shortest_wait, wait) : wait;
    const bool is_primary = IsPrimaryFor(server.entry.id);
    if ((server.in_backoff && !all_in_backoff) || wait > max_queue_wait ||
        (wait.count() > 0 && !is_primary)) {
      continue;
    }
    const double load = (server.online + kBatchItemLoad * server.batch) *
                            (8.0 / std::max(1, server.entry.slots)) +
                        (server.entry.zone == zone_ ? 0 : kOtherZoneLoad) +
                        (is_primary ? 0 : kNonPrimaryLoad) +
                        (server.unregistered ? kUnregisteredLoad : 0) +
                        (server.may_leave ? kMayLeaveLoad : 0) +
                        tie_breaker(random_);
    if (load < best_load) {
      best_load = load;
      best = std::move(server);
    }
  }
  if (best) {
    return chosen_backend{*best, ExpectedWait(*best, service_time)};
  }
  if (shortest_wait) {
    return all_backends_busy{*shortest_wait};
  }
  return no_usable_backend{};
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
