#ifndef CARDAMOMYARD_FLEET_BACKEND_DIRECTORY_H_
#define CARDAMOMYARD_FLEET_BACKEND_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/membership.h"
#include "cardamomyard/net.h"
#include "src/fleet/cold_admission.h"

namespace cardamomyard {

/// \brief A backend server as it registered itself.
struct backend_entry {
  std::string id;
  std::string service;
  host_address address = host_address::Make("0.0.0.0", 0);
  std::string zone;
  int slots = 1;  ///< Requests that it runs at once.
  bool draining = false;
  /// When this incarnation started, in ms of wall time; 0 when not known.
  std::int64_t started_unix_ms = 0;
  std::uint64_t revision = 0;  ///< Revision of the store.
  /// How much longer it was cold when the entry was written.
  std::chrono::milliseconds cold_remaining{0};

  backend_instance instance() const;
  friend bool operator==(const backend_entry&, const backend_entry&) = default;
};

/// \brief A backend server that may get work.
struct usable_backend {
  backend_entry entry;
  /// Its registration disappeared recently: use it only when no other server
  /// is free.
  bool unregistered = false;
  /// Another host says that it leaves: the same holds.
  bool may_leave = false;
  bool cold = false;
  friend bool operator==(const usable_backend&,
                         const usable_backend&) = default;
};

/// \brief How many registered servers leave, by what this host knows it from.
struct leaving_counts {
  std::size_t by_entry = 0;
  std::size_t by_answer = 0;
  std::size_t by_hosts = 0;     ///< At least two hosts say so.
  std::size_t by_one_host = 0;  ///< No proof; still usable.
  friend bool operator==(const leaving_counts&,
                         const leaving_counts&) = default;
};

/// \brief The registered backend servers.
///
/// A registration can expire during a store outage although the server is
/// alive. A server whose entry disappeared therefore stays usable, as a last
/// resort, for less time than a leaving server continues to serve.
class backend_directory {
 public:
  /// \param max_drain_time  how long a leaving server still accepts requests.
  explicit backend_directory(std::chrono::milliseconds max_drain_time);

  void Upsert(backend_entry entry, time_point now);
  void Remove(const std::string& id, time_point now);
  /// Called when the store answers again after an outage.
  void OnStoreRecovered(time_point now);

  /// A server answered as \p server, its entry when the request was placed, and
  /// announced that it leaves.
  /// \returns whether that is new.
  bool AnnounceLeaving(const backend_entry& server, time_point now);
  /// Announcements that other hosts received, or that are not proved.
  departure_registry& departures() { return departures_; }
  /// \returns the announcements that this host received from servers that are
  /// registered.
  std::vector<departure> AnnouncedLeaving(time_point now) const;
  /// Lets servers count as cold by what they say of themselves.
  void LimitColdServers() { limits_cold_servers_ = true; }
  /// A server, or a host that asked it, said that it is cold.
  /// \returns whether that is new.
  bool RecordCold(const cold_instance& server,
                  std::chrono::milliseconds remaining,
                  cold_servers::source reported_by,
                  time_point now);
  bool IsCold(const backend_entry& server, time_point now) const;
  cold_servers& cold() { return cold_; }

  /// Until SetEvacuations() is called, no server may get new work.
  void RequireEvacuations() { evacuations_known_ = false; }
  void SetEvacuations(const std::set<std::string>& zones) {
    evacuated_zones_ = zones;
    evacuations_known_ = true;
  }
  bool evacuations_known() const { return evacuations_known_; }

  /// \returns whether \p server may get new work.
  bool TakesWork(const backend_entry& server) const;
  leaving_counts CountLeaving() const;

  /// \returns whether Usable() may change without news, as time passes.
  bool ChangesWithTime(time_point now) const;
  /// \returns servers that neither leave nor are unregistered for longer than
  /// the grace period.
  std::vector<usable_backend> Usable(time_point now);
  std::size_t registered() const { return entries_.size(); }

 private:
  struct state {
    backend_entry entry;
    std::optional<time_point> usable_until;
  };
  duration GracePeriod(time_point now) const;
  void MarkUnregistered(state& server, time_point now);

  std::chrono::milliseconds max_drain_time_;
  std::optional<time_point> store_recovered_at_;
  std::map<std::string, state> entries_;
  departure_registry departures_;
  bool limits_cold_servers_ = false;
  cold_servers cold_;
  bool evacuations_known_ = true;
  std::set<std::string> evacuated_zones_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_BACKEND_DIRECTORY_H_
