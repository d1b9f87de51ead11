#ifndef CARDAMOMYARD_FLEET_ZONE_EVACUATIONS_H_
#define CARDAMOMYARD_FLEET_ZONE_EVACUATIONS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cardamomyard/store.h"

namespace cardamomyard {

/// \brief The availability zones whose servers get no new work, because the
/// operator asked for it. An entry whose name is too long for one names none.
/// What a peer said holds until this host's watch has
/// reached the peer's revision; see record_replica.
class zone_evacuations {
 public:
  const std::set<std::string>& zones() const { return zones_; }
  /// \returns the revision of the last change, for peers to compare.
  std::uint64_t revision() const { return replica_.revision(); }

  /// Applies a complete listing of the store.
  /// \returns whether the zones have changed.
  bool ApplySnapshot(store_snapshot snapshot);
  /// Applies one answer of the watch that continues the listing.
  bool ApplyChanges(store_changes answer);
  /// Takes over all zones of a peer, unless this host knows as much.
  bool Adopt(const std::vector<std::string>& zones, std::uint64_t revision);
  /// \returns whether the store must be listed again.
  bool needs_listing() const { return replica_.needs_listing(); }

 private:
  bool Update(const record_difference& difference);

  record_replica replica_;
  std::set<std::string> zones_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_ZONE_EVACUATIONS_H_
