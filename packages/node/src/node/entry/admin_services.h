#ifndef CARDAMOMYARD_NODE_ENTRY_ADMIN_SERVICES_H_
#define CARDAMOMYARD_NODE_ENTRY_ADMIN_SERVICES_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "src/node/config_follower.h"
#include "src/node/entry/backend_registry.h"
#include "src/node/entry/config_writer.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief Parts of the entry host that the administration API depends on.
struct admin_services {
  process_context* context = nullptr;
  config_follower* config = nullptr;
  config_writer* writer = nullptr;
  backend_registry* backends = nullptr;
  std::string token;
  /// Cancels a batch job in the same way as the batches API for clients, and
  /// returns the job as JSON.
  std::function<boost::asio::awaitable<result<std::string>>(std::string job_id)>
      cancel_job;
  /// \returns the other known entry hosts. The function may be unset.
  std::function<std::vector<peer_host>()> entry_hosts;
  /// \returns the ids of the entry hosts that hold the rate limit shares of an
  /// account. The function may be unset.
  std::function<std::vector<std::string>(const account_config&)> homes;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_ADMIN_SERVICES_H_
