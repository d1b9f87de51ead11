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

/// \brief The other hosts of the system and their last digests.
class peer_table {
 public:
  /// Without changes a host sends a digest this often, or at DigestInterval()
  /// if that is longer.
  static constexpr std::chrono::milliseconds kHeartbeatInterval{250};

  /// \param self  name of this host, which is never a peer.
  explicit peer_table(std::string self);

  /// A host registered, or its entry changed.
  void Add(host_entry host, time_point now);
  /// Stores a digest. \returns false for a stale or repeated one.
  bool Receive(const load_digest& digest,
               const host_address& from,
               time_point now);
  /// \returns peers that timed out since the last call.
  std::vector<std::string> TakeNewlyTimedOut(time_point now);
  /// Removes hosts that have sent nothing for a long time. A host removes
  /// others only while it hears most gateways, so that the minority side of a
  /// partition does not take itself for the whole fleet.
  void RemoveLost(time_point now);

  /// \returns the minimum time between two digests to the same peer. It grows
  /// with the number of peers, so that a host sends a bounded number of
  /// datagrams a second.
  std::chrono::milliseconds DigestInterval() const;
  /// \returns the time without a digest after which a peer is not live. It
  /// grows with DigestInterval(), which is about equal on all hosts, as they
  /// know about the same peers.
  std::chrono::milliseconds LivenessTimeout() const;
  /// \returns the age of the oldest digest of a live peer: the known loads of
  /// other hosts are at most this old.
  std::chrono::milliseconds OldestDigestAge(time_point now) const;
  /// \returns how old the known loads of the other gateways are on average;
  /// nothing while digests are sent as often as they can be.
  std::optional<duration> ReportAge(time_point now) const;
  bool IsLive(const peer_state& peer, time_point now) const;
  const std::map<std::string, peer_state>& peers() const { return peers_; }
  const peer_state* Find(const std::string& host) const;
  /// \returns live peers of a role that are not draining.
  std::vector<const peer_state*> LivePeers(host_role role,
                                           time_point now) const;
  /// \returns the numbers of known and of live gateways, each without this
  /// host.
  std::pair<int, int> GatewayCounts(time_point now) const;

 private:
  std::string self_;
  std::map<std::string, peer_state> peers_;
  std::map<std::string, time_point> known_since_;
  std::map<std::string, bool> timed_out_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_PEER_TABLE_H_
