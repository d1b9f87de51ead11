#ifndef CARDAMOMYARD_GATEWAY_CRASH_MONITOR_H_
#define CARDAMOMYARD_GATEWAY_CRASH_MONITOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cardamomyard/fleet.h"
#include "cardamomyard/telemetry.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \brief Tells crashes of backend servers from other ends of connections.
///
/// A connection also ends when it is reset on the way or when a server breaks
/// off a single answer. Only a server that refuses new connections right
/// afterwards has crashed.
class crash_monitor {
 public:
  using crash_callback =
      std::function<void(const backend_entry& backend,
                         const std::vector<crash_suspect>& suspects)>;

  crash_monitor(boost::asio::any_io_executor executor,
                metrics_registry& metrics,
                crash_callback on_crash);

  /// A server ended the connection of a request. Requests of the same server
  /// that are reported soon after one another share one probe.
  void RecordBreak(const backend_entry& backend, crash_suspect suspect);

 private:
  boost::asio::awaitable<void> Confirm(backend_entry backend);

  boost::asio::any_io_executor executor_;
  metrics_registry* metrics_;
  crash_callback on_crash_;
  part_log log_{"crashes"};
  /// Requests that wait for the result of a probe, by server.
  std::map<std::string, std::vector<crash_suspect>> pending_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_CRASH_MONITOR_H_
