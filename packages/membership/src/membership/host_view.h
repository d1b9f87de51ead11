#ifndef CARDAMOMYARD_MEMBERSHIP_HOST_VIEW_H_
#define CARDAMOMYARD_MEMBERSHIP_HOST_VIEW_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief What this process knows about an entry host.
struct entry_host {
  std::string id;
  std::string address;
  std::uint64_t incarnation = 0;
  /// time_point::min() if the host is known but was never heard from.
  time_point last_heard = time_point::min();
};

/// \brief The entry hosts known from settings, host list and digests.
class host_view {
 public:
  /// \param self  the id of this host, which is never chosen as a peer.
  host_view(std::string self, std::uint64_t seed)
      : self_(std::move(self)), random_(seed) {}

  /// \brief Adds a host from the settings or the host list.
  void AddKnownHost(const std::string& id, const std::string& address);
  /// \brief Records that a digest from \p id has arrived.
  /// \returns whether it was accepted; one of an older incarnation is not.
  bool RecordDigest(const std::string& id,
                    const std::string& address,
                    std::uint64_t incarnation,
                    time_point now);
  void Remove(const std::string& id);

  /// \returns all known hosts except this one.
  std::vector<entry_host> Peers() const;
  /// \returns the ids of hosts not heard from for longer than \p timeout.
  std::vector<std::string> LostHosts(duration timeout, time_point now) const;
  /// \returns at most \p count distinct random peers.
  std::vector<entry_host> RandomPeers(std::size_t count);
  /// \returns the ids of the three hosts that watch the configuration, chosen
  /// from this one and those heard from within \p timeout.
  std::vector<std::string> ConfigWatchers(duration timeout,
                                          time_point now) const;

 private:
  std::string self_;
  std::mt19937_64 random_;
  std::map<std::string, entry_host> hosts_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_MEMBERSHIP_HOST_VIEW_H_
