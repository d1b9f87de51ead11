#ifndef CARDAMOMYARD_FLEET_NEWEST_PEER_H_
#define CARDAMOMYARD_FLEET_NEWEST_PEER_H_

#include <cstdint>
#include <string>

#include "cardamomyard/base.h"
#include "src/fleet/peer_table.h"

namespace cardamomyard {

/// \brief Revisions of the store up to which a host knows the configuration and
/// the backend servers; 0 when it knows none.
struct inventory_revisions {
  std::int64_t configuration = 0;
  std::int64_t backends = 0;
  friend bool operator==(const inventory_revisions&,
                         const inventory_revisions&) = default;
};

/// \brief Chooses the live peer from which a host without contact to the store
/// gets its inventory.
///
/// A host that has just started accepts any inventory. A peer that was cut off
/// may still offer one with a withdrawn key or a server that has left, so the
/// peer with the newest configuration is asked first, then the one with the
/// newest backend servers.
/// \param failed  the peer that has just failed to answer; it is chosen only
/// when no other knows more.
/// \returns null when no live peer knows more than \p own.
const peer_state* ChooseNewestPeer(const peer_table& peers,
                                   const inventory_revisions& own,
                                   const std::string& failed,
                                   time_point now);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_NEWEST_PEER_H_
