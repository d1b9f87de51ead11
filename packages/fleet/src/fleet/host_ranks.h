#ifndef CARDAMOMYARD_FLEET_HOST_RANKS_H_
#define CARDAMOMYARD_FLEET_HOST_RANKS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomyard {

/// \brief The two hosts that rendezvous hashing ranks highest for a key.
struct top_hosts {
  std::string first;
  std::string second;  ///< Empty when there is one host only.
  friend bool operator==(const top_hosts&, const top_hosts&) = default;
};

/// \brief Ranks the hosts for many keys, and keeps the ranks as hosts come and
/// go.
///
/// The order is that of RendezvousTop(). Ranking a key anew takes time in
/// proportion to the number of hosts, so ranks are kept: a host that joins
/// costs one hash a key, and one that leaves only costs the keys it held.
class host_ranks {
 public:
  /// Sets the names of the hosts, in any order.
  void SetHosts(std::vector<std::string> hosts);
  const std::vector<std::string>& hosts() const { return hosts_; }
  /// \returns a number that changes with the hosts.
  std::uint64_t version() const { return version_; }

  /// \returns the ranks for \p key; empty names when there are no hosts. Valid
  /// until the next call.
  const top_hosts& Of(const std::string& key);

 private:
  struct ranked_hosts {
    top_hosts names;
    std::uint64_t first_score = 0;
    std::uint64_t second_score = 0;
    std::uint64_t key_hash = 0;
  };
  static void Insert(ranked_hosts& ranked, const std::string& host);

  std::vector<std::string> hosts_;  ///< Sorted.
  std::uint64_t version_ = 0;
  std::unordered_map<std::string, ranked_hosts> ranked_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_HOST_RANKS_H_
