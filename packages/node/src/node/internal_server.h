#ifndef CARDAMOMYARD_NODE_INTERNAL_SERVER_H_
#define CARDAMOMYARD_NODE_INTERNAL_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/node/process_context.h"

namespace cardamomyard {

/// Answers a control request; the body is in the request.
using control_handler =
    std::function<boost::asio::awaitable<http_response>(const http_request&)>;
/// Answers any other verified request, for instance by a stream.
using exchange_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&, http_request)>;

/// \brief The server for the other processes of the system. It answers only
/// requests that carry a valid signature, apart from /healthz and /metrics.
class internal_server {
 public:
  explicit internal_server(process_context& context);

  /// Control handlers run on the control thread.
  void AddControl(std::string path_prefix, control_handler handler);
  void SetFallback(exchange_handler handler);
  /// Binds the address and starts to serve.
  result<void> Start();
  http_server& server() { return *server_; }

 private:
  boost::asio::awaitable<void> Serve(http_exchange& exchange);
  boost::asio::awaitable<http_response> RunControl(control_handler handler,
                                                   http_request request);

  process_context* context_;
  std::map<std::string, control_handler> control_;
  exchange_handler fallback_;
  std::unique_ptr<http_server> server_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_INTERNAL_SERVER_H_
