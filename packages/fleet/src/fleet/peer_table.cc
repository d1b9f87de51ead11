#include "src/fleet/peer_table.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

// A restarted host is back after some seconds. The quota share of a lost host
// stays unused until the host is removed.
constexpr std::chrono::seconds kRemoveAfter{12};
// A placement is known to all peers about this long after it was made.
constexpr std::chrono::milliseconds kMinDigestInterval{30};
// Bounds the cost of digests for a host with many peers.
constexpr int kMaxDatagramsPerSecond = 300;
// Three lost datagrams in a row do no harm; in a small fleet a paused host is
// detected within a second.
constexpr std::chrono::milliseconds kMinLivenessTimeout{900};
constexpr int kLivenessTimeoutIntervals = 4;

}  // namespace

peer_table::peer_table(std::string self) : self_(std::move(self)) {}

void peer_table::Add(host_entry host, time_point now) {
  if (host.name == self_) {
    return;
  }
  known_since_.try_emplace(host.name, now);
  peer_state& peer = peers_[host.name];
  peer.host = std::move(host);
}

bool peer_table::Receive(const load_digest& digest,
                         const host_address& from,
                         time_point now) {
  if (digest.host == self_) {
    return false;
  }
  peer_state& peer = peers_[digest.host];
  const load_digest& last = peer.digest;
  // A host whose wall clock was set back restarts with a lower incarnation,
  // which is accepted only after the peer timed out: late digests of an earlier
  // run arrive while it is still live.
  const bool newer =
      !peer.last_heard || digest.incarnation > last.incarnation ||
      (digest.incarnation == last.incarnation &&
       digest.sequence > last.sequence) ||
      (digest.incarnation < last.incarnation && !IsLive(peer, now));
  if (!newer) {
    return false;
  }
  known_since_.try_emplace(digest.host, now);
  result<host_address> address = host_address::Parse(digest.address);
  peer.host = host_entry{digest.host, address ? *address : from, digest.role};
  peer.last_heard = now;
  peer.digest = digest;
  timed_out_[digest.host] = false;
  return true;
}

std::chrono::milliseconds peer_table::DigestInterval() const {
  const auto peers = static_cast<int>(peers_.size());
  const int per_second = kMaxDatagramsPerSecond;
  return std::max(
      kMinDigestInterval,
      std::chrono::milliseconds((1000 * peers + per_second - 1) / per_second));
}

std::chrono::milliseconds peer_table::LivenessTimeout() const {
  return std::max(kMinLivenessTimeout,
                  kLivenessTimeoutIntervals * DigestInterval());
}

std::chrono::milliseconds peer_table::OldestDigestAge(time_point now) const {
  duration oldest{0};
  for (const auto& [name, peer] : peers_) {
    if (IsLive(peer, now)) {
      oldest = std::max(oldest, now - *peer.last_heard);
    }
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(oldest);
}

std::optional<duration> peer_table::ReportAge(time_point now) const {
  const duration interval = DigestInterval();
  if (interval <= kMinDigestInterval) {
    return std::nullopt;
  }
  duration total{0};
  int reports = 0;
  for (const auto& [name, peer] : peers_) {
    if (peer.host.role == host_role::gateway && IsLive(peer, now)) {
      // A peer that has sent nothing for longer has nothing new to report.
      total += std::min(interval, now - *peer.last_heard);
      ++reports;
    }
  }
  return total / std::max(1, reports);
}

bool peer_table::IsLive(const peer_state& peer, time_point now) const {
  return peer.last_heard && now - *peer.last_heard < LivenessTimeout();
}

std::vector<std::string> peer_table::TakeNewlyTimedOut(time_point now) {
  std::vector<std::string> names;
  for (const auto& [name, peer] : peers_) {
    bool& timed_out = timed_out_.try_emplace(name, true).first->second;
    if (!timed_out && !IsLive(peer, now)) {
      timed_out = true;
      names.push_back(name);
    }
  }
  return names;
}

void peer_table::RemoveLost(time_point now) {
  const auto [known, live] = GatewayCounts(now);
  // This host counts as both known and live.
  if (2 * (live + 1) <= known + 1) {
    return;
  }
  const auto remove_after =
      std::max<duration>(kRemoveAfter, 2 * LivenessTimeout());
  std::erase_if(peers_, [&](const auto& item) {
    const auto& [name, peer] = item;
    const time_point last = peer.last_heard.value_or(known_since_[name]);
    if (now - last < remove_after) {
      return false;
    }
    known_since_.erase(name);
    timed_out_.erase(name);
    return true;
  });
}

const peer_state* peer_table::Find(const std::string& host) const {
  const auto found = peers_.find(host);
  return found == peers_.end() ? nullptr : &found->second;
}

std::vector<const peer_state*> peer_table::LivePeers(host_role role,
                                                     time_point now) const {
  std::vector<const peer_state*> live;
  for (const auto& [name, peer] : peers_) {
    if (peer.host.role == role && IsLive(peer, now) && !peer.digest.draining) {
      live.push_back(&peer);
    }
  }
  return live;
}

std::pair<int, int> peer_table::GatewayCounts(time_point now) const {
  int known = 0;
  int live = 0;
  for (const auto& [name, peer] : peers_) {
    if (peer.host.role == host_role::gateway) {
      ++known;
      live += IsLive(peer, now) ? 1 : 0;
    }
  }
  return {known, live};
}

}  // namespace cardamomyard
