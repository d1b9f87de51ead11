#ifndef CARDAMOMYARD_NODE_ENTRY_BACKEND_REGISTRY_H_
#define CARDAMOMYARD_NODE_ENTRY_BACKEND_REGISTRY_H_

#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/membership.h"
#include "cardamomyard/routing.h"
#include "cardamomyard/wire.h"
#include "src/node/host_list_client.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief Tracks the backend servers that an entry host knows and routes
/// requests to them. Thread-safe.
class backend_registry {
 public:
  explicit backend_registry(process_context& context);

  /// Applies a heartbeat of a sidecar.
  void OnHeartbeat(const heartbeat& message);
  /// Applies the host list, which only removes servers.
  void OnHostList(const std::vector<listed_host>& hosts);
  /// An answer of the sidecar announced that its server leaves.
  /// \param incarnation  of the sidecar, as text.
  void OnLeaving(const std::string& id, const std::string& incarnation);
  /// Drops silent servers; must be called several times a second.
  void Refresh();

  /// \returns a server of \p deployment for the next attempt.
  result<routing_choice> Choose(const std::string& deployment,
                                std::uint64_t prefix_hash,
                                const std::vector<std::string>& excluded);
  void Finished(const std::string& deployment, const std::string& id);

  /// \returns the usable servers by deployment, for operators.
  backend_snapshot Usable() const;
  /// \returns the last heartbeat of every server, usable or not.
  std::vector<heartbeat> Heartbeats() const;
  /// A heartbeat and when it arrived.
  struct heard_heartbeat {
    heartbeat message;
    time_point at;
  };
  /// \returns the same as Heartbeats(), with the arrival times.
  std::vector<heard_heartbeat> Heard() const;

 private:
  router MakeRouter() const;
  router& RouterOf(const std::string& deployment);
  void ReportUsableCount(const std::string& deployment, std::size_t count);

  process_context* context_;
  mutable std::mutex mutex_;
  backend_view view_;
  std::map<std::string, heard_heartbeat> last_heartbeats_;
  std::map<std::string, router> routers_;
  std::map<std::string, std::shared_ptr<const candidate_set>> candidate_sets_;
  std::mt19937_64 random_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_BACKEND_REGISTRY_H_
