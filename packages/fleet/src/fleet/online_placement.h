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
  backend_status server;  ///< With the loads that decided.
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

/// \brief Where an online request goes.
///
/// Engines admit in order of arrival and know no priorities, so a request that
/// is sent to a full server waits behind everything there. The load this
/// answers: bursts of about twice the mean for some seconds, in which all
/// servers are full and a queue of a few requests a server is still worth
/// joining, since its wait stays below the latency objective. Hosts hear of
/// each other's placements only after some ten milliseconds; each server has
/// one host that prefers it and alone joins its queue, as a slot that becomes
/// free would otherwise be taken by every host at once.
class online_placement {
 public:
  /// \param self  name of this host.
  /// \param zone  availability zone of this host.
  online_placement(std::string self, std::string zone, std::uint64_t seed);

  /// Sets the live hosts that place requests, with this one.
  void SetHosts(std::vector<std::string> hosts);

  /// \param excluded  servers that this request was sent to before.
  /// \param patience  the longest wait in a server's queue that is worth
  /// joining.
  placement Choose(const backend_pool& pool,
                   const std::string& service,
                   const std::set<std::string>& excluded,
                   std::chrono::milliseconds patience,
                   time_point now);

  /// Picks a service of the route by its weights.
  const std::string& PickService(const service_route& route);

  /// Records how long a request kept its slot.
  void ObserveServiceTime(const std::string& service,
                          std::chrono::milliseconds hold);
  /// \returns the smoothed time for which a request keeps its slot.
  std::chrono::milliseconds ServiceTime(const std::string& service) const;

  /// \returns when a refused caller should come back: after the queue has
  /// shrunk, spread so that refused callers do not return together.
  std::chrono::milliseconds RetryAfter(std::chrono::milliseconds expected_wait,
                                       std::chrono::milliseconds patience);

 private:
  /// \returns whether this host is the one that prefers a server.
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
                                       std::chrono::milliseconds hold);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_ONLINE_PLACEMENT_H_
