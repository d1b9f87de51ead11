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
#include "src/node/entry/usage_ledger.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// Answers one request; the caller is authenticated where the API needs it.
using caller_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&, caller_request)>;

/// \brief What the caller server asks of the rest of the entry host.
struct caller_services {
  /// Takes one request out of the rate of a client account.
  std::function<boost::asio::awaitable<result<void>>(std::string account)>
      take_token;
  /// \returns why keyed requests are refused, or nothing.
  std::function<std::optional<error>()> refusal;
  /// \returns whether the balancer may send requests here.
  std::function<bool()> ready;
  /// Runs a call that may not be repeated and carries an Idempotency-Key.
  /// \returns the failure when the caller has no answer yet.
  std::function<boost::asio::awaitable<std::optional<
      error>>(http_exchange&, forward_request, std::string idempotency_key)>
      run_idempotent;
  /// Counts a request that passed its checks, for invoices.
  std::function<void(const usage_subject&,
                     const std::optional<error>&,
                     const token_usage&)>
      record_usage;
};

/// \brief The server for callers and operators.
class caller_server {
 public:
  caller_server(process_context& context,
                const entry_settings& settings,
                config_follower& config,
                forwarder& forward,
                caller_services services);

  /// Adds an API for callers with a key below a path prefix, for instance
  /// "/v1/files".
  void AddCallerApi(std::string path_prefix, caller_handler handler);
  /// Adds the administration API, which checks its own token.
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
  /// Takes a token of \p limited and forwards the request.
  boost::asio::awaitable<std::optional<error>> Run(
      http_exchange& exchange,
      std::string limited,
      std::optional<std::string> idempotency_key,
      forward_request forwarded);
  /// Does the same and counts how the request ended.
  boost::asio::awaitable<std::optional<error>> RunCounted(
      http_exchange& exchange,
      std::string limited,
      std::optional<std::string> idempotency_key,
      usage_subject subject,
      forward_request forwarded);
  boost::asio::awaitable<bool> ServeProbe(http_exchange& exchange);
  result<void> CheckCaller(caller_request& request, bool require_key) const;
  std::function<std::optional<error>()> StreamCheck(
      const caller_request& request) const;
  forward_request MakeForward(const caller_request& request,
                              std::string body) const;

  process_context* context_;
  const entry_settings* settings_;
  config_follower* config_;
  forwarder* forwarder_;
  caller_services services_;
  std::vector<caller_api> apis_;
  caller_handler admin_;
  std::unique_ptr<http_server> server_;
};

/// Sends \p cause as the answer, with the request id.
boost::asio::awaitable<void> SendError(http_exchange& exchange,
                                       error cause,
                                       std::string request_id);
/// Sends a JSON answer with the request id.
boost::asio::awaitable<void> SendJson(http_exchange& exchange,
                                      int status,
                                      std::string body,
                                      std::string request_id);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_CALLER_SERVER_H_
