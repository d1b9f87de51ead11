#ifndef CARDAMOMYARD_NODE_SIDECAR_ENGINE_ORDERS_H_
#define CARDAMOMYARD_NODE_SIDECAR_ENGINE_ORDERS_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/admission.h"
#include "cardamomyard/config.h"
#include "cardamomyard/store.h"
#include "cardamomyard/telemetry.h"

namespace cardamomyard {

/// \brief A model or adapter that the engine must have loaded.
struct required_load {
  std::string order;  ///< `load_model` or `load_adapter`.
  std::string name;
  std::string version;

  friend bool operator==(const required_load&, const required_load&) = default;
};

/// \returns what an engine of \p model must have loaded, in loading sequence.
/// Adapters have no versions of their own; they carry the model's, since a
/// newly loaded model has no adapters.
std::vector<required_load> RequiredLoads(const model_config& model);

/// \brief Dependencies of engine_orders.
struct engine_order_parts {
  store_client* store = nullptr;
  http_client* http = nullptr;
  const clock* time = nullptr;
  metrics_registry* metrics = nullptr;
  host_address engine = host_address::Make("127.0.0.1", 0);
  /// Names the lease object; equal in all processes that send orders to this
  /// engine.
  std::string backend_id;
  /// \returns what the configuration in force requires to be loaded.
  std::function<std::vector<required_load>()> required_loads;
  /// \returns a number that differs for each run of the engine, and 0 while it
  /// does not answer. A restarted engine has nothing loaded.
  std::function<std::uint64_t()> engine_run_number;
};

/// \brief Time limits of orders and limit of concurrent loads.
struct engine_order_options {
  /// Equal in all processes. \sa order_guard
  std::chrono::milliseconds lease_duration{60'000};
  std::chrono::milliseconds lease_margin{2'000};
  /// Time limit of one order, after which the connection is closed.
  std::chrono::milliseconds order_timeout{30'000};
  /// Maximum number of concurrent loads in the fleet.
  std::size_t max_concurrent_loads = 4;
  std::chrono::milliseconds poll_interval{250};
  /// Delay before a retry, which doubles up to max_retry_delay. With 3,400
  /// sidecars waiting for a slot, 20 s mean about 230 reads/s of the object
  /// API.
  std::chrono::milliseconds initial_retry_delay{500};
  std::chrono::milliseconds max_retry_delay{20'000};
};

/// \brief Reconciles what the engine has loaded with the configuration. An
/// order is a request that makes the engine load a model or adapter; it carries
/// the fencing token of the lease `engine/<backend id>` (docs/design.md 8.5).
///
/// The lease is renewed only while an order is due, since constant renewal by
/// 3,400 sidecars would exceed the write budget of the object API. Meanwhile
/// the engine serves what it has loaded.
class engine_orders {
 public:
  engine_orders(engine_order_parts parts, engine_order_options options);

  /// Runs until the process stops, on the control thread.
  boost::asio::awaitable<void> Run();
  /// Sends the next order that is due, if any.
  /// \returns false if an order is due but could not be sent or failed.
  boost::asio::awaitable<bool> Step();

 private:
  std::optional<required_load> NextLoad();
  /// Acquires or renews the lease if needed. \returns whether an order may be
  /// sent.
  boost::asio::awaitable<bool> EnsureLease();
  boost::asio::awaitable<result<void>> AcquireLoadSlot();
  boost::asio::awaitable<void> ReleaseLoadSlot();
  boost::asio::awaitable<result<void>> SendOrder(required_load load);
  boost::asio::awaitable<bool> ReadLease();
  bool MaySend() const;
  void Count(const std::string& outcome);

  engine_order_parts parts_;
  engine_order_options options_;
  std::string holder_;
  order_guard guard_;
  std::optional<stored_object> stored_lease_;  // Record as last read.
  std::vector<required_load> loaded_;
  std::uint64_t loaded_run_ = 0;  // Engine run that loaded_ refers to.
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_ENGINE_ORDERS_H_
