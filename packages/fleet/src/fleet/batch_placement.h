#ifndef CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_
#define CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "src/fleet/backend_pool.h"

namespace cardamomyard {

/// \brief Where batch items run beside online requests.
///
/// The load this answers: online bursts that take most slots for some seconds,
/// with idle seconds between, and several workers with more items than slots.
/// An item takes a slot that is free beyond a small reserve, and is stopped and
/// resumed elsewhere as soon as online requests need its slot; a resumed item
/// costs one short prompt. Workers hear of each other's placements only after
/// some ten milliseconds, so each server has one worker that fills its last
/// slots, and the others leave a margin: otherwise two take the same slot, both
/// stop, and both try again.
class batch_placement {
 public:
  /// Slots of each server that stay free where online requests have a tight
  /// objective: one that arrives before an item has stopped for it waits about
  /// as long as a digest takes.
  static constexpr int kReservedSlots = 1;
  static constexpr std::chrono::milliseconds kTightObjective{150};
  /// Further slots that a worker leaves free on a server that another worker
  /// fills.
  static constexpr int kNonPrimaryMargin = 1;

  /// \param self  name of this worker.
  explicit batch_placement(std::string self);

  /// Takes note of the current loads; call it before Choose().
  void Observe(const std::vector<backend_status>& servers, time_point now);

  /// \returns the slots to leave free beside online requests with that latency
  /// objective.
  static int Reserve(std::chrono::milliseconds objective);

  /// \param workers  names of the live workers, with this one.
  /// \param reserve  slots of each server that stay free.
  /// \returns the server with the most free slots, or nothing.
  std::optional<backend_status> Choose(
      const std::vector<backend_status>& servers,
      const std::vector<std::string>& workers,
      int reserve,
      time_point now) const;
  /// An item was started there.
  void RecordStart(const std::string& backend, time_point now);

  /// \returns how many of this worker's items on \p server must stop. All
  /// workers that see the same loads agree on who stops how many.
  int ItemsToPreempt(const backend_status& server) const;

 private:
  struct server_history {
    /// The most online requests in the last moments.
    int peak_online = 0;
    time_point peak_at;
    /// Since when more than the margin is free; nothing when it is not.
    std::optional<time_point> spare_since;
    time_point last_observed;
  };

  std::string self_;
  std::map<std::string, server_history> history_;
  std::map<std::string, time_point> last_start_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_
