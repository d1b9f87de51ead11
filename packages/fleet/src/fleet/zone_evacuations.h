#ifndef CARDAMOMYARD_FLEET_ZONE_EVACUATIONS_H_
#define CARDAMOMYARD_FLEET_ZONE_EVACUATIONS_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace cardamomyard {

/// \brief The availability zones whose servers get no new work, because the
/// operator asked for it, as of a revision of the store.
class zone_evacuations {
 public:
  const std::set<std::string>& zones() const { return zones_; }
  std::uint64_t revision() const { return revision_; }

  /// Takes over a complete list from the store, unless this host knows a newer
  /// one.
  /// \returns whether the zones have changed.
  bool Replace(std::set<std::string> zones, std::uint64_t revision) {
    if (revision < revision_) {
      return false;
    }
    revision_ = revision;
    const bool changed = zones != zones_;
    zones_ = std::move(zones);
    return changed;
  }
  /// Takes over a peer's list. At the same revision it is added to this host's,
  /// as a peer may know only some changes of a revision.
  bool Adopt(std::set<std::string> zones, std::uint64_t revision) {
    if (revision == revision_) {
      zones.insert(zones_.begin(), zones_.end());
    }
    return Replace(std::move(zones), revision);
  }
  /// Takes over one change from the store.
  bool Set(const std::string& zone, bool evacuated, std::uint64_t revision) {
    if (revision < revision_) {
      return false;
    }
    revision_ = revision;
    return evacuated ? zones_.insert(zone).second : zones_.erase(zone) > 0;
  }

  friend bool operator==(const zone_evacuations&,
                         const zone_evacuations&) = default;

 private:
  std::set<std::string> zones_;
  std::uint64_t revision_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_ZONE_EVACUATIONS_H_
