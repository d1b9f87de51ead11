#ifndef CARDAMOMYARD_MEMBERSHIP_HOST_VIEW_H_
#define CARDAMOMYARD_MEMBERSHIP_HOST_VIEW_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief An entry host as this process knows it.
struct entry_host {
  std::string id;
  std::string address;
  std::uint64_t incarnation = 0;
  time_point last_heard = time_point::min();  ///< min: known but never heard
};

/// \brief The entry hosts known from settings, host list and digests.
class host_view {
 public:
  /// \param self  the own id, which is never chosen as a peer.
  host_view(std::string self, std::uint64_t seed)
      : self_(std::move(self)), random_(seed) {}

  /// \brief Adds a host from the settings or the host list.
  void AddKnownHost(const std::string& id, const std::string& address);
  /// \brief Takes a digest that came from \p id.
  /// \returns whether it was taken; one of an older incarnation is not.
  bool RecordDigest(const std::string& id,
                    const std::string& address,
                    std::uint64_t incarnation,
                    time_point now);
  void Remove(const std::string& id);

  /// \returns all hosts known, without this one.
  std::vector<entry_host> Peers() const;
  /// \returns the ids not heard from for longer than \p limit.
  std::vector<std::string> LostHosts(duration limit, time_point now) const;
  /// \returns at most \p count different random peers.
  std::vector<entry_host> RandomPeers(std::size_t count);
  /// \returns the three hosts, of those heard within \p limit and this one,
  /// that watch the configuration.
  std::vector<std::string> ConfigWatchers(duration limit, time_point now) const;

 private:
  std::string self_;
  std::mt19937_64 random_;
  std::map<std::string, entry_host> hosts_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_MEMBERSHIP_HOST_VIEW_H_
