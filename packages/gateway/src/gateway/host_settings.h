#ifndef CARDAMOMYARD_GATEWAY_HOST_SETTINGS_H_
#define CARDAMOMYARD_GATEWAY_HOST_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/net.h"

namespace cardamomyard {

/// \brief Time limits that the deployment sets for its hosts.
struct deployment_bounds {
  /// How long a draining backend server may still be sent new work.
  std::chrono::milliseconds backend_drain{2000};
  /// Time from a stop signal to the end of the process.
  std::chrono::milliseconds stop_grace{8000};
  /// How long after its submission a job's results must stay readable.
  std::chrono::milliseconds result_retention{120'000};
  /// Time within which a revoked key must stop working, even on a host that is
  /// cut off from the store; unset when such a host may go on serving.
  std::optional<std::chrono::milliseconds> key_revocation_bound;
  /// How many requests all hosts together may send to a cold server; unset
  /// where cold servers need no limit.
  std::optional<cold_bounds> cold_servers;
  /// Whether operators ask for zones to be evacuated.
  bool evacuates_zones = false;

  friend bool operator==(const deployment_bounds&,
                         const deployment_bounds&) = default;
};

/// \brief Settings of a gateway or worker.
struct host_settings {
  std::string name;
  std::string zone;
  /// Region of each zone of the deployment.
  std::map<std::string, std::string> region_of_zone;
  /// Addresses for callers and for the load balancer's readiness checks; set on
  /// gateways only.
  std::optional<host_address> caller_listen;
  std::optional<host_address> ready_listen;
  /// An address that serves /metrics in addition to the internal address.
  std::optional<host_address> metrics_listen;
  /// Address for other hosts of the system: HTTP over TCP, digests over UDP.
  host_address internal_listen = host_address::Make("127.0.0.1", 0);
  /// Internal addresses of hosts that receive digests before they are known as
  /// peers, so that this host finds peers when the store does not answer.
  std::vector<host_address> seeds;
  /// Memory and descriptors of the machine, as far as the platform states them.
  machine_limits machine;
  /// Whether this is the first start of the whole deployment.
  bool first_start = false;
  deployment_bounds bounds;

  friend bool operator==(const host_settings&, const host_settings&) = default;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_HOST_SETTINGS_H_
