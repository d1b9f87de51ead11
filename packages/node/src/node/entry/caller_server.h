#ifndef CARDAMOMYARD_NODE_ENTRY_CALLER_SERVER_H_
#define CARDAMOMYARD_NODE_ENTRY_CALLER_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/node/config_follower.h"
#include "src/node/entry/caller.h"
#include "src/node/entry/forwarder.h"
#include "src/node/entry/stop_monitor.h"
#include "src/node/entry/usage_ledger.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// Serves one request. The request is already authenticated unless the handler
/// is the administration API, which checks its own token.
using caller_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&, caller_request)>;

/// \brief Parts of the entry host that the caller server depends on.
struct caller_services {
  /// Takes one token from the token bucket of a client account or open route.
  std::function<boost::asio::awaitable<result<void>>(std::string account)>
      take_token;
  /// \returns the error for requests that require a key, while this host
  /// refuses them, or nothing.
  std::function<std::optional<error>()> refusal;
  /// \returns whether the load balancer may send requests to this host.
  std::function<bool()> ready;
  /// Runs a request that is not repeatable and carries an Idempotency-Key.
  /// \returns the failure when no response has been sent yet.
  std::function<boost::asio::awaitable<std::optional<
      error>>(http_exchange&, forward_request, std::string idempotency_key)>
      run_idempotent;
  /// Records the usage of a request that passed its checks, for invoices.
  std::function<void(const usage_subject&,
                     const std::optional<error>&,
                     const token_usage&)>
      record_usage;
};

/// \brief The HTTP server for clients and operators.
class caller_server {
 public:
  caller_server(process_context& context,
                const entry_settings& settings,
                config_follower& config,
                forwarder& forward,
                stop_monitor& stop,
                caller_services services);

  /// Adds an API below a path prefix such as "/v1/files". Its requests require
  /// a key.
  void AddCallerApi(std::string path_prefix, caller_handler handler);
  /// Sets the handler of the administration API, which checks its own token.
  void SetAdminApi(caller_handler handler);
  result<void> Start();
  http_server& server() { return *server_; }

 private:
  struct caller_api {
    std::string prefix;
    caller_handler handler;
  };

  boost::asio::awaitable<void> Serve(http_exchange& exchange);
  boost::asio::awaitable<std::optional<error>> Dispatch(
      http_exchange& exchange,
      caller_request& request);
  boost::asio::awaitable<std::optional<error>> ServeModels(
      http_exchange& exchange,
      caller_request& request);
  boost::asio::awaitable<std::optional<error>> ServeInference(
      http_exchange& exchange,
      caller_request& request);
  boost::asio::awaitable<std::optional<error>> ServeRoute(
      http_exchange& exchange,
      caller_request& request,
      const route_config& route);
  /// Takes a token from the bucket of \p limited, which is an account or
  /// "route/<name>", and forwards the request.
  boost::asio::awaitable<std::optional<error>> AdmitAndForward(
      http_exchange& exchange,
      std::string limited,
      std::optional<std::string> idempotency_key,
      forward_request forwarded);
  /// Calls AdmitAndForward() and records the outcome and token counts of the
  /// request.
  boost::asio::awaitable<std::optional<error>> ForwardAndMeter(
      http_exchange& exchange,
      std::string limited,
      std::optional<std::string> idempotency_key,
      usage_subject subject,
      forward_request forwarded);
  boost::asio::awaitable<bool> ServeProbe(http_exchange& exchange);
  result<void> CheckCaller(caller_request& request, bool require_key) const;
  std::function<std::optional<error>()> MakeStreamCheck(
      const caller_request& request) const;
  forward_request MakeForwardRequest(const caller_request& request,
                                     std::string body) const;

  process_context* context_;
  const entry_settings* settings_;
  config_follower* config_;
  forwarder* forwarder_;
  stop_monitor* stop_;
  caller_services services_;
  std::vector<caller_api> apis_;
  caller_handler admin_;
  std::unique_ptr<http_server> server_;
};

/// Sends \p cause as the response, with the request id.
boost::asio::awaitable<void> SendError(http_exchange& exchange,
                                       error cause,
                                       std::string request_id);
/// Sends a JSON response with the request id.
boost::asio::awaitable<void> SendJson(http_exchange& exchange,
                                      int status,
                                      std::string body,
                                      std::string request_id);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_CALLER_SERVER_H_
