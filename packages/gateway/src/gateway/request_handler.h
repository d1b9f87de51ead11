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

/// \brief Serves online requests: places each at a backend server, passes the
/// answer on, and goes on at another server where the route allows it.
class request_handler {
 public:
  request_handler(host_runtime& host, quota_gate& quotas);

  /// Answers the request. Its route and account are settled already.
  boost::asio::awaitable<void> Handle(http_exchange& exchange,
                                      std::shared_ptr<request_state> request);

 private:
  /// What to do after one attempt.
  enum class next_step { finished, retry };

  boost::asio::awaitable<void> Serve(request_state& request);
  boost::asio::awaitable<next_step> Attempt(request_state& request,
                                            const place_at& place);
  boost::asio::awaitable<next_step> HandleResponse(request_state& request,
                                                   const backend_entry& backend,
                                                   http_call& call);
  boost::asio::awaitable<next_step> RelayBuffered(request_state& request,
                                                  const backend_entry& backend,
                                                  http_call& call);
  boost::asio::awaitable<next_step> RelayStream(request_state& request,
                                                const backend_entry& backend,
                                                http_call& call);
  /// A server may have run the request and gave no usable answer.
  boost::asio::awaitable<next_step> HandleBrokenAttempt(
      request_state& request,
      const backend_entry& backend,
      const error& cause);
  /// Waits until a server has room, for a short time.
  boost::asio::awaitable<result<place_at>> WaitForPlacement(
      request_state& request);
  boost::asio::awaitable<void> Refuse(request_state& request, error cause);
  std::chrono::milliseconds HeadTimeout(
      const request_state& request,
      std::chrono::milliseconds expected_wait) const;
  /// \returns how long the next event of a stream may take.
  std::chrono::milliseconds EventTimeout(const request_state& request) const;
  void LogOutcome(const request_state& request);

  host_runtime* host_;
  quota_gate* quotas_;
  online_placement placement_;
  crash_record crashes_;
  part_log log_{"online"};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_REQUEST_HANDLER_H_
