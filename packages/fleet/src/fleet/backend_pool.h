#ifndef CARDAMOMYARD_FLEET_BACKEND_POOL_H_
#define CARDAMOMYARD_FLEET_BACKEND_POOL_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
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
  int online = 0;      ///< Online requests of all hosts.
  int batch = 0;       ///< Batch items of all hosts; can be preempted.
  int own_online = 0;  ///< Online requests of this host.
  int own_batch = 0;   ///< Batch items of this host.
  /// Batch items of each peer that has any on this server.
  std::vector<std::pair<std::string, int>> peer_batch;
  bool in_backoff = false;  ///< It failed or was full recently.
};

/// \brief The load and the health of the usable backend servers, from this
/// host's requests and its peers' digests.
class backend_pool {
 public:
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

  /// \returns the servers of a service, in the order of their ids.
  std::vector<backend_status> Status(const std::string& service,
                                     time_point now) const;
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
  struct health {
    int failures = 0;
    time_point backoff_until;
  };

  std::vector<usable_backend> backends_;
  std::map<std::string, counts> own_;
  std::map<std::string, std::map<std::string, counts>> peers_;
  std::map<std::string, health> health_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_BACKEND_POOL_H_
