#ifndef CARDAMOMYARD_NODE_ENTRY_ENTRY_H_
#define CARDAMOMYARD_NODE_ENTRY_ENTRY_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

#include "src/node/cancelled_jobs.h"
#include "src/node/config_follower.h"
#include "src/node/entry/admin_api.h"
#include "src/node/entry/backend_registry.h"
#include "src/node/entry/batches_api.h"
#include "src/node/entry/caller_server.h"
#include "src/node/entry/config_writer.h"
#include "src/node/entry/files_api.h"
#include "src/node/entry/forwarder.h"
#include "src/node/entry/idempotency.h"
#include "src/node/entry/peer_exchange.h"
#include "src/node/entry/stop_monitor.h"
#include "src/node/entry/suspect_registry.h"
#include "src/node/entry/usage_ledger.h"
#include "src/node/internal_server.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief An entry host: the process that serves callers and operators.
class entry {
 public:
  static result<std::unique_ptr<entry>> Create(entry_settings settings);
  ~entry();

  result<void> Start();
  /// Shuts down gracefully: fails the readiness check first, lets running
  /// requests finish and closes connections between requests. Blocks.
  void Stop();
  process_context& context() { return *context_; }

 private:
  entry(entry_settings settings, std::unique_ptr<process_context> context);

  caller_services MakeServices();
  admin_services MakeAdminServices();
  boost::asio::awaitable<result<std::string>> CancelForOperator(
      std::string job_id);
  boost::asio::awaitable<http_response> OnHeartbeat(
      const http_request& request);
  boost::asio::awaitable<void> FollowHostList();
  boost::asio::awaitable<void> RefreshBackends();
  boost::asio::awaitable<void> ApplyWrittenConfig();
  boost::asio::awaitable<void> FlushUsage();

  entry_settings settings_;
  std::unique_ptr<process_context> context_;
  config_follower config_;
  cancelled_jobs cancelled_;
  stop_monitor stop_;
  backend_registry backends_;
  suspect_registry suspects_;
  peer_exchange peers_;
  forwarder forwarder_;
  idempotent_runner idempotent_;
  files_api files_;
  batches_api batches_;
  internal_server internal_;
  config_writer config_writer_;
  usage_ledger usage_;
  caller_server callers_;
  admin_api admin_;
  std::atomic<bool> draining_{false};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_ENTRY_H_
