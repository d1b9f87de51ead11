#include "src/fleet/newest_peer.h"

#include <tuple>

namespace cardamomyard {

const peer_state* ChooseNewestPeer(const peer_table& peers,
                                   const inventory_revisions& own,
                                   const std::string& failed,
                                   time_point now) {
  const auto rank = [&failed](const peer_state& peer) {
    return std::tuple(peer.host.name != failed,
                      peer.digest.configuration_revision,
                      peer.digest.backend_revision);
  };
  const peer_state* newest = nullptr;
  for (const auto& [name, peer] : peers.peers()) {
    const bool newer = peer.digest.configuration_revision > own.configuration ||
                       peer.digest.backend_revision > own.backends;
    if (newer && peers.IsLive(peer, now) &&
        (newest == nullptr || rank(peer) > rank(*newest))) {
      newest = &peer;
    }
  }
  return newest;
}

}  // namespace cardamomyard
