#ifndef CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_
#define CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "src/fleet/backend_pool.h"

namespace cardamomyard {

/// \brief Where batch items run beside online requests.
///
/// The load this answers: online bursts that take most slots for some seconds,
/// with idle seconds between. An item takes a slot that is free beyond a small
/// reserve, and is stopped and resumed elsewhere as soon as online requests
/// need its slot; a resumed item costs one short prompt.
class batch_placement {
 public:
  /// Slots of each server that stay free for online requests which arrive
  /// before the next digest of the other hosts.
  static constexpr int kReserve = 1;

  /// \returns the server with the most free slots, or nothing.
  static std::optional<backend_entry> Choose(
      const std::vector<backend_status>& servers);

  /// \returns how many of this host's items on \p server must stop. Of several
  /// hosts with items there, each stops its share.
  static int Excess(const backend_status& server);
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_BATCH_PLACEMENT_H_
