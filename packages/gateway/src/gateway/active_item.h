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

/// \brief What one run of a batch item produced.
struct item_run_result {
  item_ending ending = item_ending::refused;
  /// Text of the events of this run, joined to what was there before.
  std::string text;
  std::int64_t last_event = 0;
  bool any_event = false;
  /// The server is to blame for a run that was cut or refused.
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
  bool stopped = false;  ///< This host stopped it.

  /// Stops the run; it ends as cut.
  void Stop();
};

/// \brief Runs an item from where it stands to its end.
/// \param before  the item as it stood before the run.
boost::asio::awaitable<item_run_result> RunItem(
    host_runtime& host,
    std::shared_ptr<active_item> run,
    const job_item& input,
    open_item progress,
    std::string route_host,
    std::string account);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_ACTIVE_ITEM_H_
