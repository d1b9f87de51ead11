#ifndef CARDAMOMYARD_GATEWAY_HOST_SETTINGS_H_
#define CARDAMOMYARD_GATEWAY_HOST_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"

namespace cardamomyard {

/// \brief Time bounds that a deployment states for its hosts.
struct deployment_bounds {
  /// How long a leaving backend server may still get work.
  std::chrono::milliseconds backend_drain{2000};
  /// Time from a stop signal to the end of the process.
  std::chrono::milliseconds stop_grace{8000};
  /// Until this long after the submission a job's results must stay readable.
  std::chrono::milliseconds result_retention{120'000};
  /// A withdrawn key must stop working within this time also on a host that is
  /// cut off; nothing when the deployment lets such a host go on.
  std::optional<std::chrono::milliseconds> key_revocation_bound;

  friend bool operator==(const deployment_bounds&,
                         const deployment_bounds&) = default;
};

/// \brief Settings of a gateway or worker.
struct host_settings {
  std::string name;
  std::string zone;
  /// Callers and the balancer; gateways only.
  std::optional<host_address> caller_listen;
  std::optional<host_address> ready_listen;
  /// Where /metrics is served beside the internal address.
  std::optional<host_address> metrics_listen;
  /// Other hosts of the system: HTTP over TCP, digests over UDP.
  host_address internal_listen = host_address::Make("127.0.0.1", 0);
  /// Internal addresses of hosts to try when the store does not answer.
  std::vector<host_address> seeds;
  /// True at the first start of the whole deployment.
  bool first_start = false;
  deployment_bounds bounds;

  friend bool operator==(const host_settings&, const host_settings&) = default;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_HOST_SETTINGS_H_
