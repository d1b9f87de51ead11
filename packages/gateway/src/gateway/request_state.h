#ifndef CARDAMOMYARD_GATEWAY_REQUEST_STATE_H_
#define CARDAMOMYARD_GATEWAY_REQUEST_STATE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/net.h"
#include "src/gateway/protocol.h"

namespace cardamomyard {

/// \brief One online request from its arrival to its answer.
struct request_state {
  http_exchange* exchange = nullptr;
  /// Keeps the route alive when the configuration changes.
  std::shared_ptr<const service_map> configuration;
  const service_route* route = nullptr;
  std::string account;         ///< Empty on a route that is open to all.
  bool quota_charged = false;  ///< It took a token of its account's quota.
  inbound_request caller;
  std::string body;
  std::uint64_t fingerprint = 0;
  std::string service;

  time_point arrived;
  time_point deadline;

  /// Servers that it was sent to or that could not be reached.
  std::set<std::string> tried;
  bool retrying_all = false;  ///< All were tried once and are tried again.
  int attempts = 0;           ///< Servers that it was sent to.
  bool may_have_run = false;

  /// The caller has left; everything that works for the request must stop.
  bool caller_left = false;
  std::shared_ptr<call_canceller> canceller;

  /// Of a stream: its head has reached the caller, and these events.
  bool head_sent = false;
  std::optional<std::int64_t> last_event;
  std::optional<time_point> first_byte;

  /// For the log line.
  std::string server_list;
  int status = 0;
  std::string outcome_label;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_REQUEST_STATE_H_
