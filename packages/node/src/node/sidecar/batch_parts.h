#ifndef CARDAMOMYARD_NODE_SIDECAR_BATCH_PARTS_H_
#define CARDAMOMYARD_NODE_SIDECAR_BATCH_PARTS_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <optional>

#include "src/node/cancelled_jobs.h"
#include "src/node/config_follower.h"
#include "src/node/process_context.h"
#include "src/node/sidecar/admission_gate.h"
#include "src/node/sidecar/backend_monitor.h"

namespace cardamomyard {

/// \brief Dependencies of batch work.
struct batch_parts {
  process_context* context = nullptr;
  /// Clients that belong to the worker's thread. They are destroyed before the
  /// thread pool, since their connections use its executor.
  http_client* http = nullptr;
  store_client* store = nullptr;
  const sidecar_settings* settings = nullptr;
  config_follower* config = nullptr;
  admission_gate* gate = nullptr;
  backend_monitor* monitor = nullptr;
  cancelled_jobs* cancelled = nullptr;
  /// \returns the reason to refuse new work, or nothing.
  std::function<std::optional<error>()> refusal;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_BATCH_PARTS_H_
