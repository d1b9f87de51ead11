#ifndef CARDAMOMYARD_NODE_SIDECAR_SIDECAR_H_
#define CARDAMOMYARD_NODE_SIDECAR_SIDECAR_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

#include "src/node/cancelled_jobs.h"
#include "src/node/config_follower.h"
#include "src/node/internal_server.h"
#include "src/node/process_context.h"
#include "src/node/share_table_follower.h"
#include "src/node/sidecar/admission_gate.h"
#include "src/node/sidecar/backend_monitor.h"
#include "src/node/sidecar/batch_worker.h"
#include "src/node/sidecar/engine_orders.h"
#include "src/node/sidecar/heartbeat_sender.h"
#include "src/node/sidecar/online_handler.h"
#include "src/node/store_contact.h"

namespace cardamomyard {

/// \brief The process beside one backend server. It alone admits requests to
/// that server.
class sidecar {
 public:
  static result<std::unique_ptr<sidecar>> Create(sidecar_settings settings);
  ~sidecar();

  result<void> Start();
  /// Shuts down gracefully: takes no new work and lets running requests finish
  /// until the drain timeout. Blocks.
  void Stop();
  process_context& context() { return *context_; }

 private:
  sidecar(sidecar_settings settings, std::unique_ptr<process_context> context);

  boost::asio::awaitable<void> RefreshHostList();
  /// \returns the reason to refuse new work, or nothing.
  std::optional<error> Refusal() const;
  engine_order_parts OrderParts();
  heartbeat BuildHeartbeat() const;
  void OnReply(const host_address& from, const heartbeat_reply& reply);
  boost::asio::awaitable<void> CatchUp(host_address peer,
                                       std::uint64_t generation,
                                       std::uint64_t epoch);
  boost::asio::awaitable<void> PollStore();
  boost::asio::awaitable<void> ReadStore();
  void BeginDrain(std::string_view reason);

  sidecar_settings settings_;
  std::unique_ptr<process_context> context_;
  config_follower config_;
  share_table_follower share_table_;
  store_contact store_;
  // Set when an entry host reports no recent contact with the store.
  bool store_probe_requested_ = false;
  cancelled_jobs cancelled_;
  admission_gate gate_;
  backend_monitor monitor_;
  online_handler handler_;
  internal_server server_;
  heartbeat_sender heartbeats_;
  std::unique_ptr<engine_orders> orders_;  // Null if the backend is a service.
  std::unique_ptr<batch_worker> batch_;    // Null if batch work is disabled.
  std::atomic<bool> draining_{false};
  std::atomic<duration::rep> last_refresh_{0};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_SIDECAR_H_
