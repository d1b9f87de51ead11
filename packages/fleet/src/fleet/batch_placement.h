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
  /// Slots of each server that stay free for online requests which arrive
  /// before the next digest of the other hosts.
  static constexpr int kReserve = 1;
  /// Further slots that a worker leaves free on a server that another worker
  /// fills.
  static constexpr int kMargin = 2;

  /// \param self  name of this worker.
  explicit batch_placement(std::string self);

  /// Takes note of the current loads; call it before Choose().
  void Observe(const std::vector<backend_status>& servers, time_point now);

  /// \param workers  names of the live workers, with this one.
  /// \returns the server with the most free slots, or nothing.
  std::optional<backend_entry> Choose(
      const std::vector<backend_status>& servers,
      const std::vector<std::string>& workers,
      time_point now) const;
  /// An item was started there.
  void Started(const std::string& backend, time_point now);

  /// \returns how many of this worker's items on \p server must stop. All
  /// workers that see the same loads agree on who stops how many.
  int Excess(const backend_status& server) const;

 private:
  /// The most online requests in the last moments.
  struct peak {
    int online = 0;
    time_point seen;
  };

  std::string self_;
  std::map<std::string, peak> peaks_;
  std::map<std::string, time_point> started_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_
