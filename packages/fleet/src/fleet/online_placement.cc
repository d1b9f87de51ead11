#include "src/fleet/online_placement.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace cardamomyard {
namespace {

// Assumed until a service has answered.
constexpr double kFirstHoldMs = 200;
// Weight of a new observation; about the last twenty count.
constexpr double kHoldWeight = 0.05;
// A batch item is stopped for an online request, which costs it a short wait.
constexpr double kBatchLoad = 0.3;
// Prefers a server of the own zone when it is at most this much busier.
constexpr double kZoneLoad = 0.4;
// Prefers the servers that are this host's to fill.
constexpr double kOtherHostLoad = 0.8;
// A lapsed registration mostly means a dead server.
constexpr double kLapsedLoad = 1000;
// Callers that were refused return over this span, about one burst.
constexpr double kRetrySpreadMs = 900;
constexpr double kLeastRetryMs = 250;

}  // namespace

std::chrono::milliseconds ExpectedWait(const backend_status& server,
                                       std::chrono::milliseconds hold) {
  const int slots = std::max(1, server.entry.slots);
  const int ahead = server.online + 1 - slots;
  if (ahead <= 0) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(hold.count() * ahead / slots);
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
                                   std::chrono::milliseconds patience,
                                   time_point now) {
  const std::chrono::milliseconds hold = ServiceTime(service);
  std::uniform_real_distribution<double> tie(0, 0.1);
  std::optional<backend_status> best;
  double best_load = std::numeric_limits<double>::max();
  std::optional<std::chrono::milliseconds> shortest;
  std::vector<backend_status> servers = pool.Status(service, now);
  // When all are avoided, a failed one is still better than none.
  const bool all_avoided =
      std::all_of(servers.begin(), servers.end(), [&](const auto& server) {
        return server.in_backoff || excluded.contains(server.entry.id);
      });
  for (backend_status& server : servers) {
    if (excluded.contains(server.entry.id)) {
      continue;
    }
    const std::chrono::milliseconds wait = ExpectedWait(server, hold);
    shortest = shortest ? std::min(*shortest, wait) : wait;
    const bool preferred = IsPrimaryFor(server.entry.id);
    if ((server.in_backoff && !all_avoided) || wait > patience ||
        (wait.count() > 0 && !preferred)) {
      continue;
    }
    const double load = (server.online + kBatchLoad * server.batch) *
                            (8.0 / std::max(1, server.entry.slots)) +
                        (server.entry.zone == zone_ ? 0 : kZoneLoad) +
                        (preferred ? 0 : kOtherHostLoad) +
                        (server.unregistered ? kLapsedLoad : 0) + tie(random_);
    if (load < best_load) {
      best_load = load;
      best = std::move(server);
    }
  }
  if (best) {
    return chosen_backend{*best, ExpectedWait(*best, hold)};
  }
  if (shortest) {
    return all_backends_busy{*shortest};
  }
  return no_usable_backend{};
}

const std::string& online_placement::PickService(const service_route& route) {
  double total = 0;
  for (const service_share& share : route.services) {
    total += std::max(0.0, share.weight);
  }
  double point = std::uniform_real_distribution<double>(0, total)(random_);
  for (const service_share& share : route.services) {
    point -= std::max(0.0, share.weight);
    if (point < 0) {
      return share.service;
    }
  }
  return route.services.front().service;
}

void online_placement::ObserveServiceTime(const std::string& service,
                                          std::chrono::milliseconds hold) {
  const auto [found, first] =
      service_time_ms_.try_emplace(service, static_cast<double>(hold.count()));
  if (!first) {
    found->second +=
        kHoldWeight * (static_cast<double>(hold.count()) - found->second);
  }
}

std::chrono::milliseconds online_placement::ServiceTime(
    const std::string& service) const {
  const auto found = service_time_ms_.find(service);
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      found == service_time_ms_.end() ? kFirstHoldMs : found->second));
}

std::chrono::milliseconds online_placement::RetryAfter(
    std::chrono::milliseconds expected_wait,
    std::chrono::milliseconds patience) {
  const double excess = static_cast<double>((expected_wait - patience).count());
  std::uniform_real_distribution<double> spread(0, kRetrySpreadMs);
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      std::max(kLeastRetryMs, excess) + spread(random_)));
}

}  // namespace cardamomyard
