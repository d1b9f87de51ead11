#ifndef CARDAMOMYARD_NODE_SIDECAR_ONLINE_HANDLER_H_
#define CARDAMOMYARD_NODE_SIDECAR_ONLINE_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "src/node/process_context.h"
#include "src/node/sidecar/admission_gate.h"
#include "src/node/sidecar/backend_monitor.h"

namespace cardamomyard {

/// \brief Serves the requests that entry hosts forward by running them on the
/// backend server.
class online_handler {
 public:
  /// \param ready  returns the reason to refuse new work, or nothing.
  /// \param leaving  see relay_options.
  online_handler(process_context& context,
                 const sidecar_settings& settings,
                 admission_gate& gate,
                 backend_monitor& monitor,
                 std::function<std::optional<error>()> ready,
                 std::function<std::string()> leaving);

  boost::asio::awaitable<void> Handle(http_exchange& exchange,
                                      http_request request);

 private:
  struct forwarded;

  boost::asio::awaitable<std::optional<error>> Run(http_exchange& exchange,
                                                   forwarded call);

  process_context* context_;
  const sidecar_settings* settings_;
  admission_gate* gate_;
  backend_monitor* monitor_;
  std::function<std::optional<error>()> ready_;
  std::function<std::string()> leaving_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_ONLINE_HANDLER_H_
