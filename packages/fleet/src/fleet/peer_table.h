#ifndef CARDAMOMYARD_FLEET_PEER_TABLE_H_
#define CARDAMOMYARD_FLEET_PEER_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \brief A host of the system as it registered itself.
struct host_entry {
  std::string name;
  host_address address = host_address::Make("0.0.0.0", 0);
  host_role role = host_role::gateway;
  friend bool operator==(const host_entry&, const host_entry&) = default;
};

/// \brief A peer and its last digest.
struct peer_state {
  host_entry host;
  std::optional<time_point> last_heard;
  load_digest digest;
};

/// \brief The other hosts of the system and what they last said.
class peer_table {
 public:
  /// Without changes a host sends a digest this often, or at Interval() if that
  /// is longer.
  static constexpr std::chrono::milliseconds kHeartbeatInterval{250};

  /// \param self  name of this host, which is never a peer.
  explicit peer_table(std::string self);

  /// A host registered, or its entry changed.
  void Add(host_entry host, time_point now);
  /// Takes over a digest. \returns false for a stale or repeated one.
  bool Receive(const load_digest& digest,
               const host_address& from,
               time_point now);
  /// \returns peers that fell silent since the last call.
  std::vector<std::string> TakeNewlyTimedOut(time_point now);
  /// Forgets hosts that nobody will hear of again. A host forgets others only
  /// while it hears most gateways, so the smaller part of a partition does not
  /// take itself for the whole.
  void RemoveLost(time_point now);

  /// \returns the least time between two digests to the same peer. It grows
  /// with the number of peers, so that a host sends a bounded number of
  /// datagrams a second.
  std::chrono::milliseconds DigestInterval() const;
  /// \returns how long a peer may send no digest before it is silent. It grows
  /// with Interval(): all hosts know about the same peers.
  std::chrono::milliseconds LivenessTimeout() const;
  /// \returns the age of the oldest of the live peers' digests: loads of other
  /// hosts are known as of then.
  std::chrono::milliseconds OldestDigestAge(time_point now) const;
  bool IsLive(const peer_state& peer, time_point now) const;
  const std::map<std::string, peer_state>& peers() const { return peers_; }
  const peer_state* Find(const std::string& host) const;
  /// \returns live peers of a role that are not draining.
  std::vector<const peer_state*> LivePeers(host_role role,
                                           time_point now) const;
  /// \returns gateways known and gateways heard, each without this host.
  std::pair<int, int> GatewayCounts(time_point now) const;

 private:
  std::string self_;
  std::map<std::string, peer_state> peers_;
  std::map<std::string, time_point> known_since_;
  std::map<std::string, bool> timed_out_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_PEER_TABLE_H_
