#ifndef CARDAMOMYARD_GATEWAY_HOST_RUNTIME_H_
#define CARDAMOMYARD_GATEWAY_HOST_RUNTIME_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/jobs.h"
#include "cardamomyard/net.h"
#include "cardamomyard/store.h"
#include "cardamomyard/telemetry.h"
#include "cardamomyard/wire.h"
#include "src/gateway/crash_monitor.h"
#include "src/gateway/gossip.h"
#include "src/gateway/host_settings.h"
#include "src/gateway/inventory.h"
#include "src/gateway/protocol.h"
#include "src/gateway/relayed_store.h"

namespace cardamomyard {

/// \brief The services that a platform provides to a host.
struct platform_services {
  std::unique_ptr<object_store> store;
  std::unique_ptr<protocol> codec;
};

/// \brief The part of a host that gateways and workers have in common:
/// inventory, peers, load of the backend servers, internal server and
/// registration of the host.
///
/// One traffic thread runs requests, digests and all decisions, so this state
/// needs no lock. The control thread watches the store.
class host_runtime {
 public:
  struct role_callbacks {
    std::function<void(load_digest&)> fill_digest;
    std::function<void(const load_digest&)> on_digest;
    std::function<void(const std::string& peer)> on_peer_silent;
    std::function<void(std::shared_ptr<const service_map>)> on_configuration;
    /// Handles the internal calls that the runtime does not handle itself.
    std::function<boost::asio::awaitable<void>(http_exchange&)> on_internal;
  };

  static result<std::unique_ptr<host_runtime>> Create(
      host_settings settings,
      host_role role,
      platform_services services,
      role_callbacks callbacks);
  ~host_runtime();
  host_runtime(const host_runtime&) = delete;
  host_runtime& operator=(const host_runtime&) = delete;

  void Start();
  /// Announces to the peers that this host takes no new work.
  void StartDraining();
  bool draining() const { return draining_; }

  const host_settings& settings() const { return settings_; }
  const clock& time() const { return clock_; }
  metrics_registry& metrics() { return metrics_; }
  http_client& http() { return *http_; }
  /// The store; its calls are relayed by a peer while it refuses this host.
  object_store& store() { return *store_; }
  const protocol& codec() const { return *services_.codec; }
  job_store& jobs() { return *jobs_; }
  inventory& current_inventory() { return *inventory_; }
  peer_table& peers() { return peers_; }
  backend_pool& pool() { return pool_; }
  crash_attribution& crashes() { return crashes_; }
  server_speeds& speeds() { return speeds_; }
  gossip& digests() { return *gossip_; }
  thread_pool& traffic_threads() { return traffic_; }
  /// What the HTTP servers of this process may hold together.
  const std::shared_ptr<server_resources>& resources() const {
    return resources_;
  }
  boost::asio::any_io_executor traffic();
  boost::asio::any_io_executor control();
  std::int64_t incarnation() const { return incarnation_; }

  /// Records the start or end of a request or item at a server.
  void RecordStart(const std::string& backend, work_class work);
  void RecordEnd(const std::string& backend, work_class work);
  /// Records what a server says of itself in the head of an answer. To be
  /// called before the answer is passed on.
  void RecordHead(const backend_entry& backend,
                  const backend_response_head& head);
  /// Applies changes of the servers that may get work to the pool.
  void UpdateBackends();
  /// \returns the limit of the requests to cold servers; null where there is
  /// none, and on hosts that send them none.
  cold_admission* cold_limit() { return cold_ ? &*cold_ : nullptr; }
  /// Counts a request that is about to be written against the limit of a cold
  /// server.
  /// \returns whether it may be sent.
  bool AdmitToBackend(const backend_entry& backend);
  /// \returns whether a request that was placed at a server may still be sent.
  bool MaySend(const backend_entry& backend) const {
    return inventory_->backends().TakesWork(backend);
  }
  /// Records that a server ended the connection of a request early, so that the
  /// request is accused if the server has crashed.
  void RecordBreak(const backend_entry& backend, crash_suspect suspect);

 private:
  host_runtime(host_settings settings,
               host_role role,
               platform_services services,
               role_callbacks callbacks);
  result<void> Open();
  boost::asio::awaitable<void> Register();
  boost::asio::awaitable<void> RunCatchUpLoop();
  boost::asio::awaitable<void> RunRefreshLoop();
  boost::asio::awaitable<void> HandleInternal(http_exchange& exchange);
  boost::asio::awaitable<void> HandleMetrics(http_exchange& exchange);
  /// Sets the peers through which calls to the store can be relayed.
  void UpdateStorePeers();
  /// \returns whether this host is one of those that use short watches to
  /// detect lost events on behalf of all hosts.
  bool UsesShortWatches() const;
  /// \returns the names of the live gateways, of this host too if it is one.
  std::vector<std::string> LiveGateways() const;
  void FillDigest(load_digest& digest);
  void OnDigest(const load_digest& digest);
  void RecordDepartures(const load_digest& digest);
  void LogDeparture(const departure& known,
                    std::string_view source,
                    const std::string& host);
  void RecordColdServers(const load_digest& digest);
  void LogCold(const std::string& backend,
               std::chrono::milliseconds remaining,
               std::string_view source);
  /// Tells the limit of cold servers which gateways this host hears.
  void UpdateColdLimit();
  void UpdateSpeeds();
  /// Like UpdateBackends(), once for all changes that are being delivered.
  void UpdateBackendsSoon();
  void FollowHosts();
  /// Logs when clients were turned away since the last call.
  void ReportResources();

  host_settings settings_;
  host_role role_;
  platform_services services_;
  role_callbacks callbacks_;
  host_clock clock_;
  metrics_registry metrics_;
  part_log log_{"host"};
  part_log departure_log_{"departures"};
  leaving_counts leaving_;
  std::int64_t incarnation_;
  std::unique_ptr<http_client> http_;
  std::unique_ptr<relayed_store> store_;
  std::unique_ptr<job_store> jobs_;
  peer_table peers_;
  backend_pool pool_;
  crash_attribution crashes_;
  server_speeds speeds_;
  time_point speeds_sent_;
  std::unique_ptr<crash_monitor> crash_monitor_;
  std::unique_ptr<inventory> inventory_;
  std::optional<cold_admission> cold_;
  std::unique_ptr<gossip> gossip_;
  std::unique_ptr<object_follower> host_follower_;
  std::unique_ptr<http_server> internal_server_;
  std::unique_ptr<http_server> metrics_server_;
  bool draining_ = false;
  bool update_pending_ = false;
  /// Whether the usable servers changed with time when last looked at.
  bool backends_change_ = true;
  std::shared_ptr<server_resources> resources_;
  resource_counts reported_resources_;

  thread_pool traffic_{1};
  thread_pool control_{1};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_HOST_RUNTIME_H_
