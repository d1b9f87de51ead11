#ifndef CARDAMOMYARD_FLEET_ONLINE_PLACEMENT_H_
#define CARDAMOMYARD_FLEET_ONLINE_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cardamomyard/base.h"
#include "src/fleet/backend_pool.h"
#include "src/fleet/service_map.h"

namespace cardamomyard {

/// Send the request to this server now.
struct chosen_backend {
  backend_status server;  ///< With the loads that the choice is based on.
  std::chrono::milliseconds expected_wait{0};
};
/// Every server is busy; one may be free in a moment.
struct all_backends_busy {
  std::chrono::milliseconds expected_wait{0};
};
/// No server of the service can be used.
struct no_usable_backend {};
using placement =
    std::variant<chosen_backend, all_backends_busy, no_usable_backend>;

/// \brief Chooses the backend server of an online request.
///
/// Engines admit in order of arrival and know no priorities, so a request that
/// is sent to a full server waits behind all requests there. Designed for
/// bursts of about twice the mean rate for some seconds, in which all servers
/// are full and a queue of a few requests a server is still worth joining,
/// since its wait stays below the latency objective. Hosts learn of each
/// other's placements only after some ten milliseconds. Each server therefore
/// has one primary host, which prefers it and alone may join its queue:
/// otherwise every host would take the same free slot at once.
class online_placement {
 public:
  /// \param self  name of this host.
  /// \param zone  availability zone of this host.
  online_placement(std::string self, std::string zone, std::uint64_t seed);

  /// Sets the live hosts that place requests, including this one.
  void SetHosts(std::vector<std::string> hosts);

  /// \param excluded  servers that this request has been sent to.
  /// \param max_queue_wait  the longest wait in a server's queue that is worth
  /// joining.
  placement Choose(const backend_pool& pool,
                   const std::string& service,
                   const std::set<std::string>& excluded,
                   std::chrono::milliseconds max_queue_wait,
                   time_point now);

  /// Picks a service of the route at random, in proportion to the weights.
  const std::string& PickService(const service_route& route);

  /// Records how long a request held its slot.
  void ObserveServiceTime(const std::string& service,
                          std::chrono::milliseconds service_time);
  /// \returns the moving average of the time for which a request holds a
  /// slot.
  std::chrono::milliseconds ServiceTime(const std::string& service) const;

  /// \returns after how long a refused caller should retry: once the queue
  /// has shrunk, with jitter so that refused callers do not return together.
  std::chrono::milliseconds RetryAfter(
      std::chrono::milliseconds expected_wait,
      std::chrono::milliseconds max_queue_wait);

 private:
  /// \returns whether this host is the primary host of a server.
  bool IsPrimaryFor(const std::string& backend);

  std::string self_;
  std::vector<std::string> hosts_;
  std::map<std::string, bool> is_primary_;
  std::string zone_;
  std::mt19937_64 random_;
  std::map<std::string, double> service_time_ms_;
};

/// \returns how long a request that is sent to this server waits for a slot.
std::chrono::milliseconds ExpectedWait(const backend_status& server,
                                       std::chrono::milliseconds service_time);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_ONLINE_PLACEMENT_H_
