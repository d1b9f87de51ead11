#ifndef CARDAMOMYARD_GATEWAY_REQUEST_HANDLER_H_
#define CARDAMOMYARD_GATEWAY_REQUEST_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/limits.h"
#include "cardamomyard/net.h"
#include "src/gateway/host_runtime.h"
#include "src/gateway/quota_gate.h"
#include "src/gateway/request_state.h"
#include "src/gateway/server_attempt.h"

namespace cardamomyard {

/// \brief What a planned stop did to requests that it did not let finish.
struct stop_counts {
  int ended = 0;  ///< They got an error as their answer.
  int cut = 0;    ///< Their answer had begun.
};

/// \brief Serves online requests: sends each to a backend server, relays the
/// response, and retries at another server where the route allows it.
class request_handler {
 public:
  request_handler(host_runtime& host, quota_gate& quotas);

  /// Serves a request whose route and account are already determined.
  boost::asio::awaitable<void> Handle(http_exchange& exchange,
                                      std::shared_ptr<request_state> request);

  /// Ends running and later requests in time for a planned stop of this host.
  void BeginStop(const stop_schedule& schedule);
  const stop_counts& stopped() const { return stopped_; }

 private:
  /// The step that follows an attempt.
  enum class next_step {
    finished,
    retry,
    moved  ///< The request goes on with the attempt that replaced this one.
  };

  boost::asio::awaitable<void> Serve(request_state& request);
  /// Sends the request to a server.
  boost::asio::awaitable<std::shared_ptr<server_attempt>> StartAttempt(
      request_state& request,
      chosen_backend place);
  /// Waits for the response of the current attempt and handles it.
  boost::asio::awaitable<next_step> FollowAttempt(request_state& request);
  /// Replaces the current attempt, whose server is silent, by one at another
  /// server. The current one ends only when the other server has taken the
  /// request. \returns whether it was replaced.
  boost::asio::awaitable<bool> MoveFromSilentServer(request_state& request);
  /// Ends a request whose server has not answered until its deadline.
  boost::asio::awaitable<next_step> EndUnanswered(request_state& request,
                                                  server_attempt& attempt);
  /// Waits until the successor has answered or is taken for running. \returns
  /// false if it was cancelled because the silent server has gone on.
  boost::asio::awaitable<bool> AwaitSuccessor(request_state& request);
  boost::asio::awaitable<next_step> HandleResponse(request_state& request,
                                                   server_attempt& attempt);
  boost::asio::awaitable<next_step> RelayBuffered(request_state& request,
                                                  server_attempt& attempt);
  boost::asio::awaitable<next_step> RelayStream(request_state& request,
                                                server_attempt& attempt);
  /// \returns whether the server has answered that it did not run the request.
  bool IsRefusal(const server_attempt& attempt) const;
  /// Records that a server refused the request and reads the refusal.
  boost::asio::awaitable<void> RecordRefusal(request_state& request,
                                             server_attempt& attempt);
  /// Records that the request was not sent to a server.
  void RecordUnreachable(request_state& request, server_attempt& attempt);
  /// Clears what a completely answered request holds of causing crashes.
  void RecordCompletion(const request_state& request,
                        const server_attempt& attempt);
  /// Handles an attempt at which the server may have run the request but gave
  /// no usable response.
  boost::asio::awaitable<next_step> HandleBrokenAttempt(request_state& request,
                                                        server_attempt& attempt,
                                                        const error& cause);
  /// Decides whether the request may be sent to a server, or is like those
  /// under which servers crash.
  bool MayReachServers(request_state& request);
  /// Gives the names of the live gateways to the placement, if it has not had
  /// them lately.
  void RefreshHosts();
  /// Counts a request that came to a full server, by whether this host knew of
  /// a server with a free slot.
  void CountFullServer(const request_state& request, const std::string& full);
  void ObserveSpeed(const request_state& request,
                    const server_attempt& attempt);
  placement_rules RulesOf(const request_state& request) const;
  /// Chooses a server, waiting a bounded time for a free slot.
  boost::asio::awaitable<result<chosen_backend>> WaitForPlacement(
      request_state& request);
  boost::asio::awaitable<void> Refuse(request_state& request, error cause);
  /// \returns whether the request can no longer be refused as not run, so that
  /// it waits for a server as long as its time lasts.
  bool MustGoOn(const request_state& request) const;
  /// \returns whether the request may be sent to one more server.
  bool CanMove(const request_state& request) const;
  /// \returns when a server without a response head is taken for silent.
  time_point HeadDeadline(const request_state& request,
                          const server_attempt& attempt) const;
  /// \returns when a stream whose last event arrived at \p last_event is
  /// taken for silent.
  time_point EventDeadline(const request_state& request,
                           const server_attempt& attempt,
                           time_point last_event) const;
  void CountStopped(const request_state& request);
  void LogOutcome(const request_state& request);

  host_runtime* host_;
  quota_gate* quotas_;
  online_placement placement_;
  time_point hosts_due_;
  std::set<std::shared_ptr<request_state>> running_;
  std::optional<stop_schedule> stop_;
  stop_counts stopped_;
  part_log log_{"online"};
  part_log crash_log_{"crashes"};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_REQUEST_HANDLER_H_
