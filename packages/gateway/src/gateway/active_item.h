#ifndef CARDAMOMYARD_GATEWAY_ACTIVE_ITEM_H_
#define CARDAMOMYARD_GATEWAY_ACTIVE_ITEM_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "cardamomyard/fleet.h"
#include "cardamomyard/jobs.h"
#include "cardamomyard/net.h"
#include "src/gateway/host_runtime.h"

namespace cardamomyard {

/// \brief The result of one run of a batch item.
struct item_run_result {
  item_run_outcome ending = item_run_outcome::refused;
  /// Text of the events of this run, appended to the text of earlier runs.
  std::string text;
  std::int64_t last_event = 0;
  bool any_event = false;
  /// Whether a run that was cut or refused counts as a failure of the server.
  bool server_failed = false;
  int status = 0;
  std::string reason;
};

/// \brief A batch item that runs at a backend server.
struct active_item {
  std::string job;
  std::string item;
  backend_entry backend;
  std::shared_ptr<call_canceller> canceller;
  bool stopped = false;  ///< Whether this host stopped the run.

  /// Stops the run; it ends as cut.
  void Stop();
};

/// \brief Runs an item at its server, resuming after the last event received.
/// \param progress  the state of the item before this run.
boost::asio::awaitable<item_run_result> RunItem(
    host_runtime& host,
    std::shared_ptr<active_item> run,
    const job_item& input,
    queued_item progress,
    std::string route_host,
    std::string account);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_ACTIVE_ITEM_H_
