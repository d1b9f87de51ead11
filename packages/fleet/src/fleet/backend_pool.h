#ifndef CARDAMOMYARD_FLEET_BACKEND_POOL_H_
#define CARDAMOMYARD_FLEET_BACKEND_POOL_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/wire.h"
#include "src/fleet/backend_directory.h"

namespace cardamomyard {

enum class work_class { online, batch };

/// \brief What is known about the load of one backend server.
struct backend_status {
  backend_entry entry;
  bool unregistered = false;
  bool may_leave = false;
  bool cold = false;
  int online = 0;      ///< Online requests of all hosts.
  int batch = 0;       ///< Batch items of all hosts; can be preempted.
  int own_online = 0;  ///< Online requests of this host.
  int own_batch = 0;   ///< Batch items of this host.
  /// Batch items of each peer that has any on this server.
  std::vector<std::pair<std::string, int>> peer_batch;
  bool in_backoff = false;  ///< It failed or was full recently.
  /// Relative to the median of its service. \sa server_speeds
  double speed = 1;

  /// \returns how many requests it serves as fast as a median server serves
  /// one.
  double capacity() const { return std::max(1, entry.slots) * speed; }
};

/// \brief The load and the health of the usable backend servers, from this
/// host's requests and its peers' digests.
class backend_pool {
 public:
  backend_pool() = default;
  backend_pool(const backend_pool&) = delete;
  backend_pool& operator=(const backend_pool&) = delete;
  backend_pool(backend_pool&&) = default;
  backend_pool& operator=(backend_pool&&) = default;

  void SetBackends(std::vector<usable_backend> backends);
  /// Replaces the in-flight counts of one peer.
  void SetPeerLoads(const std::string& host, std::vector<backend_load> loads);
  void RemovePeer(const std::string& host);

  void RecordStart(const std::string& backend, work_class work);
  void RecordEnd(const std::string& backend, work_class work);
  /// A connection or an answer failed. The backoff grows with each failure in a
  /// row.
  void RecordFailure(const std::string& backend, time_point now);
  /// The server refused a request because it is full.
  void RecordOverload(const std::string& backend, time_point now);
  void RecordSuccess(const std::string& backend);
  /// Sets the speeds of all servers.
  void SetSpeeds(const std::function<double(const backend_entry&)>& speed_of);

  /// \returns the servers of a service, in the order of their ids. They are
  /// kept up to date as loads change, so that a decision costs no look-ups of
  /// loads. Valid until the servers change.
  const std::vector<backend_status>& Status(const std::string& service,
                                            time_point now);
  /// \returns a number that changes when Status() lists other servers.
  std::uint64_t version() const { return version_; }
  /// \returns nothing when the server is not usable.
  std::optional<backend_entry> Find(const std::string& backend) const;
  /// \returns this host's in-flight counts, for its digest.
  std::vector<backend_load> OwnLoads() const;

 private:
  struct counts {
    int online = 0;
    int batch = 0;
    friend bool operator==(const counts&, const counts&) = default;
  };
  /// Loads of one server; kept also while the server is not usable.
  struct server_load {
    counts own;
    counts peers;
    std::vector<std::pair<std::string, int>> peer_batch;
    backend_status* status = nullptr;  ///< Null while it is not usable.
  };
  struct health {
    int failures = 0;
    time_point backoff_until;
  };

  void AddPeerLoad(const std::string& host, const backend_load& load, int sign);
  /// Copies the loads to the server's status, and forgets it if it has none.
  void ApplyLoad(const std::string& backend);
  void Rebuild();

  std::vector<usable_backend> backends_;
  std::uint64_t version_ = 0;
  std::unordered_map<std::string, std::vector<backend_status>> services_;
  std::unordered_map<std::string, server_load> loads_;
  /// Servers with requests of this host.
  std::set<std::string> own_;
  std::unordered_map<std::string, std::vector<backend_load>> peers_;
  std::map<std::string, health> health_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_BACKEND_POOL_H_
