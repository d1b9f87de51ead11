#ifndef CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_
#define CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cardamomyard/base.h"
#include "src/fleet/backend_pool.h"
#include "src/fleet/host_ranks.h"
#include "src/fleet/service_map.h"

namespace cardamomyard {

/// \brief The services that may run an item of a batch route, in the order in
/// which they are tried.
///
/// Another service of the route is tried when the first one has no server for
/// the item. One with a share of zero gets none, unless all have.
/// \param turn  changes with each item, so that the services take turns.
std::vector<std::string> ServicesInTurn(
    const std::vector<service_share>& shares,
    std::uint64_t turn);

/// \brief Places batch items in slots that online requests leave free.
///
/// Designed for online bursts that take most slots for some seconds, with idle
/// seconds between, and for several workers with more items than slots. An item
/// takes a slot that is free beyond a small reserve. It is preempted and
/// resumed elsewhere as soon as online requests need its slot; resuming costs
/// one short prompt. Workers learn of each other's placements only after some
/// ten milliseconds. Each server therefore has a primary worker that fills its
/// last slots, and the others leave a margin: otherwise two workers take the
/// same slot, both stop their items, and both try again.
///
/// Of more than kMaxCompared servers, a worker fills only those for which it is
/// the primary worker or the next one in rank.
class batch_placement {
 public:
  /// Slots kept free on each server whose online requests have a tight latency
  /// objective: a request that must wait for a preemption waits about as long
  /// as a digest takes.
  static constexpr int kReservedSlots = 1;
  static constexpr std::chrono::milliseconds kTightObjective{150};
  /// Further slots that a worker leaves free on a server for which another
  /// worker is primary.
  static constexpr int kNonPrimaryMargin = 1;
  static constexpr std::size_t kMaxCompared = 64;

  /// \param self  name of this worker.
  explicit batch_placement(std::string self);

  /// Records the current loads; call it before Choose().
  void Observe(const std::vector<backend_status>& servers, time_point now);

  /// \returns the slots to keep free on a server whose online requests have
  /// this latency objective.
  static int Reserve(std::chrono::milliseconds objective);

  /// \param workers  names of the live workers, including this one.
  /// \param reserve  slots of each server that stay free.
  /// \param zones  zones whose servers may get the item; null for all.
  /// \returns the server with the most free slots, or nothing.
  std::optional<backend_status> Choose(
      const std::vector<backend_status>& servers,
      const std::vector<std::string>& workers,
      int reserve,
      time_point now,
      const std::set<std::string>* zones = nullptr);
  /// An item was started on this server.
  void RecordStart(const std::string& backend, time_point now);

  /// \returns how many of this worker's items on \p server must stop. Workers
  /// that see the same loads compute the same split.
  int ItemsToPreempt(const backend_status& server) const;

 private:
  struct server_history {
    /// Most online requests seen within the peak window.
    int peak_online = 0;
    time_point peak_at;
    /// Since when more slots than the margin are free; empty when they are not.
    std::optional<time_point> spare_since;
    time_point last_observed;
  };

  /// \returns the positions of the servers that this worker may fill.
  const std::vector<std::size_t>& ServersToFill(
      const std::vector<backend_status>& servers);
  /// \returns how many slots an item leaves free on \p server; nothing when
  /// another worker fills it.
  std::optional<int> SlotsToKeep(const backend_status& server,
                                 const server_history* history,
                                 int reserve,
                                 time_point now);

  std::string self_;
  std::vector<std::string> workers_;
  host_ranks ranks_;
  /// By service, since the last Observe().
  std::map<std::string, std::vector<std::size_t>> to_fill_;
  std::unordered_map<std::string, server_history> history_;
  std::map<std::string, time_point> last_start_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_
