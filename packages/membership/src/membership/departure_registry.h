#ifndef CARDAMOMYARD_MEMBERSHIP_DEPARTURE_REGISTRY_H_
#define CARDAMOMYARD_MEMBERSHIP_DEPARTURE_REGISTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief One start of a backend server, as it registered itself.
struct backend_instance {
  std::string id;
  std::string address;
  /// When it started, in ms of wall time; 0 when not known.
  std::int64_t started_unix_ms = 0;
  /// Orders the registrations of one id.
  std::uint64_t revision = 0;
  friend bool operator==(const backend_instance&,
                         const backend_instance&) = default;
};

/// \brief A backend server that announced that it leaves.
struct departure {
  backend_instance instance;
  std::chrono::milliseconds age{0};
  friend bool operator==(const departure&, const departure&) = default;
};

/// \brief What is known about the departure of a backend server.
enum class departure_state {
  none,
  /// One host says so: use the server only when no other one has room.
  claimed,
  /// Two hosts say so: no new work.
  confirmed,
  /// It said so in an answer to this host: no new work.
  announced,
};

/// \brief The backend servers that announced that they leave.
///
/// An answer proves an announcement to the host that received it, and concerns
/// only the server that was asked. Another host's word counts as proof together
/// with that of a second host, so that no single server or host can make all
/// servers unusable.
///
/// An announcement holds until the server is registered anew, whatever older
/// registrations say meanwhile.
class departure_registry {
 public:
  /// Announcements of servers that are no longer listed beyond this number are
  /// forgotten, the oldest first.
  static constexpr std::size_t kMaxUnlisted = 10'000;

  /// \returns whether the announcement is new.
  bool Announce(const backend_instance& server, time_point now);
  /// Replaces what \p host says. \returns the departures that it has not named
  /// before.
  std::vector<departure> SetClaims(const std::string& host,
                                   std::vector<departure> claims);
  /// Adds to what \p host says. \returns whether it has not said so before.
  bool AddClaim(const std::string& host, departure claim);

  /// The entry of a server was removed. Where its start is not known, a newer
  /// entry then names a new instance.
  void RecordRemoved(const std::string& id);
  /// Forgets what hosts say for which \p is_known is false.
  void KeepClaimsOf(
      const std::function<bool(const std::string& host)>& is_known);

  /// Ends the announcements of earlier instances of a server that is
  /// registered now, and those of unlisted servers that had its address.
  void EndReplaced(const backend_instance& registered,
                   const std::function<bool(const std::string& id)>& is_listed);

  departure_state StateOf(const backend_instance& server) const;
  /// \returns whether nothing is known of any server.
  bool empty() const;
  /// \returns the announcements that this host received itself.
  std::vector<departure> Announced(time_point now) const;

 private:
  struct announcement {
    backend_instance instance;
    time_point at;
    bool removed = false;  ///< Whether its entry was removed since.
  };

  std::map<std::string, announcement> announced_;
  std::map<std::string, std::map<std::string, departure>> claims_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_MEMBERSHIP_DEPARTURE_REGISTRY_H_
