#ifndef CARDAMOMYARD_GATEWAY_REQUEST_HANDLER_H_
#define CARDAMOMYARD_GATEWAY_REQUEST_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/net.h"
#include "src/gateway/host_runtime.h"
#include "src/gateway/quota_gate.h"
#include "src/gateway/request_state.h"

namespace cardamomyard {

/// \brief Serves online requests: sends each to a backend server, relays the
/// response, and retries at another server where the route allows it.
class request_handler {
 public:
  request_handler(host_runtime& host, quota_gate& quotas);

  /// Serves a request whose route and account are already determined.
  boost::asio::awaitable<void> Handle(http_exchange& exchange,
                                      std::shared_ptr<request_state> request);

 private:
  /// The step that follows an attempt.
  enum class next_step { finished, retry };

  boost::asio::awaitable<void> Serve(request_state& request);
  boost::asio::awaitable<next_step> Attempt(request_state& request,
                                            const chosen_backend& place);
  boost::asio::awaitable<next_step> HandleResponse(request_state& request,
                                                   const backend_entry& backend,
                                                   http_call& call);
  boost::asio::awaitable<next_step> RelayBuffered(request_state& request,
                                                  const backend_entry& backend,
                                                  http_call& call);
  boost::asio::awaitable<next_step> RelayStream(request_state& request,
                                                const backend_entry& backend,
                                                http_call& call);
  /// Clears what a completely answered request holds of causing crashes.
  void RecordCompletion(const request_state& request, const http_call& call);
  /// Handles an attempt at which the server may have run the request but gave
  /// no usable response.
  boost::asio::awaitable<next_step> HandleBrokenAttempt(
      request_state& request,
      const backend_entry& backend,
      const error& cause);
  /// Decides whether the request may be sent to a server, or is like those
  /// under which servers crash.
  bool MayReachServers(request_state& request);
  /// Chooses a server, waiting a bounded time for a free slot.
  boost::asio::awaitable<result<chosen_backend>> WaitForPlacement(
      request_state& request);
  boost::asio::awaitable<void> Refuse(request_state& request, error cause);
  std::chrono::milliseconds HeadTimeout(
      const request_state& request,
      std::chrono::milliseconds expected_wait) const;
  /// \returns when a stream whose last event arrived at \p last_event is
  /// taken for stalled.
  time_point EventDeadline(const request_state& request,
                           time_point last_event) const;
  void LogOutcome(const request_state& request);

  host_runtime* host_;
  quota_gate* quotas_;
  online_placement placement_;
  part_log log_{"online"};
  part_log crash_log_{"crashes"};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_REQUEST_HANDLER_H_
