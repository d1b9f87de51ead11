#ifndef CARDAMOMYARD_NODE_INTERNAL_SERVER_H_
#define CARDAMOMYARD_NODE_INTERNAL_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/node/process_context.h"

namespace cardamomyard {

/// Answers a control request, which is passed with its body.
using control_handler =
    std::function<boost::asio::awaitable<http_response>(const http_request&)>;
/// Answers any other verified request, for instance with a stream.
using exchange_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&, http_request)>;

/// \brief HTTP server for the other processes of the system. Every request must
/// carry a valid signature, except for /healthz and /metrics.
class internal_server {
 public:
  explicit internal_server(process_context& context);

  /// Registers a handler, which runs on the control thread, for the paths that
  /// begin with \p path_prefix.
  void AddControl(std::string path_prefix, control_handler handler);
  /// Sets the handler of all other paths; it runs on a traffic thread.
  void SetFallback(exchange_handler handler);
  /// Binds the internal address and starts serving.
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
