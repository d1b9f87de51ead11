#ifndef CARDAMOMYARD_FLEET_ONLINE_PLACEMENT_H_
#define CARDAMOMYARD_FLEET_ONLINE_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cardamomyard/base.h"
#include "src/fleet/backend_pool.h"
#include "src/fleet/cold_admission.h"
#include "src/fleet/host_ranks.h"
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

/// \brief Which servers may get a request, beside those that it was sent to.
struct placement_rules {
  /// Zones whose servers may get it; null for all.
  const std::set<std::string>* zones = nullptr;
  /// Limits the requests to cold servers; null for none.
  cold_admission* cold = nullptr;
  double cold_rate_per_s = 0;  ///< Of the service.

  bool AllowZone(const backend_status& server) const {
    return zones == nullptr || zones->contains(server.entry.zone);
  }
  /// \returns whether the limit of a cold server leaves room.
  bool HasRoom(const backend_status& server, time_point now) const;
};

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
///
/// Up to kMaxCompared servers are all compared. Of more, a host compares some
/// of those whose primary it is and a random sample, so that the cost of a
/// decision doesn't grow with the fleet.
class online_placement {
 public:
  static constexpr std::size_t kMaxCompared = 64;

  /// \param self  name of this host.
  /// \param zone  availability zone of this host.
  online_placement(std::string self, std::string zone, std::uint64_t seed);

  /// Sets the live hosts that place requests, including this one.
  void SetHosts(std::vector<std::string> hosts);

  /// Sets how old the loads of other hosts are, so that the choice evens out
  /// what they have placed since. Without it, the least loaded server is
  /// chosen.
  void SetReportAge(std::optional<duration> age) { report_age_ = age; }

  /// \param excluded  servers that this request has been sent to.
  /// \param max_queue_wait  the longest wait in a server's queue that is worth
  /// joining.
  placement Choose(backend_pool& pool,
                   const std::string& service,
                   const std::set<std::string>& excluded,
                   std::chrono::milliseconds max_queue_wait,
                   time_point now,
                   const placement_rules& rules = {});

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
  /// Positions of the servers whose primary host is this one, as of one list of
  /// servers and hosts.
  struct primary_servers {
    std::uint64_t pool_version = 0;
    std::uint64_t hosts_version = 0;
    std::vector<std::size_t> positions;
  };

  /// \returns whether this host is the primary host of a server.
  bool IsPrimaryFor(const std::string& backend);
  /// Sets `candidates_` to the positions of the servers to compare.
  void SelectCandidates(const std::string& service,
                        const std::vector<backend_status>& servers,
                        std::uint64_t pool_version);
  /// \returns how much less wanted a server is, as a number of requests.
  double Handicap(const backend_status& server) const;
  const backend_status* ChooseEvenlyAmong(
      const std::vector<const backend_status*>& servers,
      std::chrono::milliseconds service_time);
  const backend_status* ChooseLeastLoaded(
      const std::vector<const backend_status*>& servers);
  placement ChooseAmongCandidates(const std::vector<backend_status>& servers,
                                  const std::string& service,
                                  const std::set<std::string>& excluded,
                                  std::chrono::milliseconds max_queue_wait,
                                  time_point now,
                                  const placement_rules& rules);

  std::string self_;
  host_ranks ranks_;
  std::map<std::string, primary_servers> primaries_;
  std::vector<std::size_t> candidates_;
  std::vector<const backend_status*> eligible_;
  std::optional<duration> report_age_;
  std::string zone_;
  std::mt19937_64 random_;
  std::map<std::string, double> service_time_ms_;
};

/// \returns how long a request that is sent to this server waits for a slot.
std::chrono::milliseconds ExpectedWait(const backend_status& server,
                                       std::chrono::milliseconds service_time);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_ONLINE_PLACEMENT_H_
