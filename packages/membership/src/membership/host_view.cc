#include "src/membership/host_view.h"

#include <algorithm>
#include <iterator>

namespace cardamomyard {

void host_view::AddKnownHost(const std::string& id,
                             const std::string& address) {
  if (id != self_) {
    hosts_.try_emplace(id, entry_host{id, address});
  }
}

bool host_view::RecordDigest(const std::string& id,
                             const std::string& address,
                             std::uint64_t incarnation,
                             time_point now) {
  if (id == self_) {
    return false;
  }
  entry_host& host = hosts_[id];
  if (incarnation < host.incarnation) {
    return false;
  }
  host = {id, address, incarnation, std::max(now, host.last_heard)};
  return true;
}

void host_view::Remove(const std::string& id) {
  hosts_.erase(id);
}

std::vector<entry_host> host_view::Peers() const {
  std::vector<entry_host> peers;
  peers.reserve(hosts_.size());
  for (const auto& [id, host] : hosts_) {
    peers.push_back(host);
  }
  return peers;
}

std::vector<std::string> host_view::LostHosts(duration timeout,
                                              time_point now) const {
  std::vector<std::string> lost;
  for (const auto& [id, host] : hosts_) {
    if (host.last_heard < now - timeout) {
      lost.push_back(id);
    }
  }
  return lost;
}

std::vector<entry_host> host_view::RandomPeers(std::size_t count) {
  const std::vector<entry_host> peers = Peers();
  std::vector<entry_host> chosen;
  std::ranges::sample(peers, std::back_inserter(chosen),
                      static_cast<std::ptrdiff_t>(count), random_);
  return chosen;
}

std::vector<std::string> host_view::ConfigWatchers(duration timeout,
                                                   time_point now) const {
  std::vector<std::string> live{self_};
  for (const auto& [id, host] : hosts_) {
    if (host.last_heard >= now - timeout) {
      live.push_back(id);
    }
  }
  return RendezvousTop(live, "config/head", 3);
}

}  // namespace cardamomyard
