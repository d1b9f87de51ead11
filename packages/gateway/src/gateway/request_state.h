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
#include "cardamomyard/limits.h"
#include "cardamomyard/net.h"
#include "cardamomyard/wire.h"
#include "src/gateway/protocol.h"
#include "src/gateway/server_attempt.h"

namespace cardamomyard {

/// \brief The state of one online request from its arrival to its response.
struct request_state {
  http_exchange* exchange = nullptr;
  /// Owns the route, so that it outlives a change of the configuration.
  std::shared_ptr<const service_map> configuration;
  const service_route* route = nullptr;
  std::string account;  ///< Empty on a route that is open to all.
  allowed_zones zones;  ///< Where it may be sent.
  /// Whether it took a token of its account's quota.
  bool quota_charged = false;
  inbound_request caller;
  std::string body;
  /// What identifies it when servers crash under it.
  crash_suspect suspect;
  std::string service;

  time_point arrived;
  /// When it ends; never later than its time limit.
  time_point deadline;
  time_point time_limit;
  /// Set from the begin of a planned stop on.
  std::optional<stop_schedule> stop;

  /// Sets the deadline to what the time limit and a planned stop allow.
  void UpdateDeadline() {
    deadline = time_limit;
    if (stop) {
      deadline = head_sent ? stop->LimitStream(time_limit)
                           : stop->LimitAnswer(time_limit);
    }
  }
  bool ends_with_stop() const { return deadline < time_limit; }

  /// Ends the request in time for a planned stop of this host.
  void LimitTo(const stop_schedule& schedule) {
    stop = schedule;
    UpdateDeadline();
    for (const auto& running : {attempt, successor}) {
      if (running) {
        running->Wake();
      }
    }
  }

  /// Servers that it was sent to and servers that could not be reached.
  std::set<std::string> tried;
  bool retrying_all = false;  ///< Whether all servers are being tried again.
  int attempts = 0;           ///< How often it was sent to a server.
  bool may_have_run = false;
  /// Whether it finds out if servers still crash under what it holds.
  bool is_trial = false;
  /// The attempt whose response is relayed, and the one that is to replace it
  /// while its server is silent.
  std::shared_ptr<server_attempt> attempt;
  std::shared_ptr<server_attempt> successor;

  /// Whether the caller has disconnected; all work for the request must stop.
  bool caller_left = false;

  /// Ends the request at the servers because its caller has left.
  void Leave() {
    caller_left = true;
    for (const auto& running : {attempt, successor}) {
      if (running) {
        running->Cancel();
      }
    }
  }

  /// For a stream: whether the response head was sent to the caller, and the id
  /// of the last event relayed.
  bool head_sent = false;
  std::optional<std::int64_t> last_event;
  /// Whether events without ids were relayed, behind which no server resumes.
  bool has_unnumbered_events = false;
  std::optional<time_point> first_byte;

  /// Fields of the log line.
  std::string server_list;
  int status = 0;
  std::string outcome_label;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_REQUEST_STATE_H_
