#ifndef CARDAMOMYARD_FLEET_SERVICE_MAP_H_
#define CARDAMOMYARD_FLEET_SERVICE_MAP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/limits.h"

namespace cardamomyard {

/// \brief What kind of requests a route carries, which decides whether they may
/// be retried.
enum class route_kind { idempotent, non_idempotent, streaming, batch };

/// \brief A service that a route sends to, and its share of the requests.
struct service_share {
  std::string service;
  double weight = 1;
  friend bool operator==(const service_share&, const service_share&) = default;
};

/// \brief One route of the configuration.
struct service_route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  route_kind kind = route_kind::non_idempotent;
  std::vector<service_share> services;
  /// Time limit of a request, set by the operator, to the last byte.
  std::chrono::milliseconds timeout{0};
  /// Latency objective of the answer, or of its first event.
  std::chrono::milliseconds latency_objective{0};
  /// For streams: latency objective of the pause between two events.
  std::chrono::milliseconds pause_objective{0};
  int priority = 0;        ///< 0 is the most urgent.
  int max_attempts = 1;    ///< Backend servers that one request may be sent to.
  bool open = false;       ///< True: served without a key.
  bool resumable = false;  ///< True: a stream may continue on another server.
  /// For batch routes: when all results are due, counted from submission.
  std::chrono::milliseconds completion_objective{0};
  /// For batch routes: when an unfinished item may be given up.
  std::chrono::milliseconds retention{0};
  /// For batch routes: tokens that one account may have waiting, 0 for no
  /// limit.
  std::int64_t waiting_token_cap = 0;
  /// Regions whose servers may get its requests; all when empty.
  std::set<std::string> allowed_regions;

  /// \returns whether a request may run more than once.
  bool repeatable() const {
    return kind == route_kind::idempotent || resumable ||
           kind == route_kind::batch;
  }
  friend bool operator==(const service_route&, const service_route&) = default;
};

/// \brief A client account and its quota.
struct service_account {
  std::string name;
  int priority = 0;
  /// Empty when the account has no quota.
  std::optional<account_limits> quota;
  /// Regions whose servers may get its requests; all when empty.
  std::set<std::string> allowed_regions;
  friend bool operator==(const service_account&,
                         const service_account&) = default;
};

/// \brief Limits for what a caller may send, and how slowly.
struct caller_limits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds idle_timeout{15'000};
  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// \brief The zones whose servers may get a request; all when not set.
using allowed_zones = std::optional<std::set<std::string>>;

/// \returns the zones that both the route and the account allow.
/// \param account  null for a request without a key.
/// \param region_of_zone  of all zones; others are in no allowed region.
allowed_zones AllowedZones(
    const service_route& route,
    const service_account* account,
    const std::map<std::string, std::string>& region_of_zone);

/// \brief The contents of a service_map.
struct service_map_parts {
  std::int64_t version = 0;
  std::uint64_t revision = 0;  ///< Store revision that it was read at.
  std::vector<service_route> routes;
  std::vector<service_account> accounts;
  std::unordered_map<std::string, std::string> account_of_key;
  bool keys_required = false;
  caller_limits limits;
  /// Requests a second that a cold server tolerates, by service.
  std::map<std::string, double> cold_rates;
};

/// \brief Immutable snapshot of one version of the configuration.
class service_map {
 public:
  /// \returns an error that names the route or key that is wrong.
  static result<service_map> Make(service_map_parts parts);

  std::int64_t version() const { return parts_.version; }
  std::uint64_t revision() const { return parts_.revision; }
  const caller_limits& limits() const { return parts_.limits; }
  /// \returns how many requests a second a cold server of the service
  /// tolerates; 0 when it has no limit.
  double ColdRate(const std::string& service) const;
  bool keys_required() const { return parts_.keys_required; }
  const std::vector<service_account>& accounts() const {
    return parts_.accounts;
  }
  const std::vector<service_route>& routes() const { return parts_.routes; }

  /// \returns the route of that host with the longest prefix of \p path.
  const service_route* MatchRoute(std::string_view host,
                                  std::string_view path) const;
  const service_route* FindRoute(std::string_view name) const;
  const service_account* FindAccount(const std::string& name) const;
  /// \returns the account that holds the key.
  const service_account* AccountOfKey(const std::string& key) const;

 private:
  explicit service_map(service_map_parts parts);

  service_map_parts parts_;
  // Indexes into the routes, by host name, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
  std::unordered_map<std::string, std::size_t> account_index_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_SERVICE_MAP_H_
