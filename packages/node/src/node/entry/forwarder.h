#ifndef CARDAMOMYARD_NODE_ENTRY_FORWARDER_H_
#define CARDAMOMYARD_NODE_ENTRY_FORWARDER_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/routing.h"
#include "src/node/answer_relay.h"
#include "src/node/entry/answer_capture.h"
#include "src/node/entry/backend_registry.h"
#include "src/node/entry/caller.h"
#include "src/node/entry/stop_monitor.h"
#include "src/node/entry/suspect_registry.h"

namespace cardamomyard {

/// \brief A validated request to be forwarded to a deployment.
struct forward_request {
  std::string deployment;
  std::string method;
  std::string target;
  header_list headers;  ///< Only those that may be forwarded.
  std::string body;
  std::string account;
  double weight = 1;
  bool repeatable = false;
  std::uint64_t prefix_hash = 0;
  /// Fingerprints of the parts of the prompt that other requests may share.
  std::vector<request_fingerprint> prompt_parts;
  std::chrono::milliseconds timeout{60'000};
  std::string request_id;
  trace_context trace;
  /// Returns an error when the request must be aborted, for instance because
  /// its key was withdrawn.
  std::function<std::optional<error>()> check;
  /// Set when the answer is to be stored. \sa answer_capture
  std::shared_ptr<answer_capture> capture;
  /// Called with each chunk of the answer before it is sent.
  std::function<void(const std::string&)> observe;
};

/// \brief Sends requests to sidecars and retries where that is allowed.
class forwarder {
 public:
  forwarder(process_context& context,
            backend_registry& backends,
            suspect_registry& suspects,
            stop_monitor& stop);

  /// Runs the request and relays its answer.
  /// \returns the failure when no answer was sent to the caller, or nothing.
  boost::asio::awaitable<std::optional<error>> Forward(http_exchange& exchange,
                                                       forward_request request);

 private:
  struct attempt_report {
    relay_report relay;
    std::string backend;
  };

  boost::asio::awaitable<attempt_report> Attempt(
      http_exchange& exchange,
      const forward_request& request,
      std::vector<std::string>& excluded,
      time_point deadline,
      bool isolated);
  boost::asio::awaitable<std::optional<error>> ForwardWithRetries(
      http_exchange& exchange,
      const forward_request& request,
      request_fingerprint fingerprint,
      bool isolated);
  /// Sends the request to a sidecar and waits for the head of the answer, but
  /// not longer than a planned stop allows.
  boost::asio::awaitable<result<std::unique_ptr<http_call>>>
  OpenCall(host_address sidecar, http_request request, call_options options);
  std::optional<duration> NextAttempt(const failed_attempt& attempt);

  process_context* context_;
  backend_registry* backends_;
  suspect_registry* suspects_;
  stop_monitor* stop_;
  std::mutex mutex_;
  retry_policy policy_;
  retry_budget budget_;
  std::mt19937_64 random_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_FORWARDER_H_
