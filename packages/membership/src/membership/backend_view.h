#ifndef CARDAMOMYARD_MEMBERSHIP_BACKEND_VIEW_H_
#define CARDAMOMYARD_MEMBERSHIP_BACKEND_VIEW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "src/membership/departure_registry.h"

namespace cardamomyard {

enum class backend_state { starting, serving, draining, down };

/// \brief The report that a sidecar sends each second about its backend server.
struct backend_report {
  std::string id;
  std::string deployment;
  std::string zone;
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  ///< Orders the reports of one incarnation.
  backend_state state = backend_state::starting;
  int free_online_slots = 0;
  int queue_length = 0;
  std::chrono::microseconds step_time{0};
  std::vector<std::uint64_t> prefix_digests;
  std::uint64_t generation = 0;
  duration store_contact_age{0};

  friend bool operator==(const backend_report&,
                         const backend_report&) = default;
};

/// \returns the state after a report within one incarnation, according to the
/// state chart backend_server, or nothing if the chart does not allow it. A
/// server that drains never serves again.
std::optional<backend_state> NextBackendState(backend_state from,
                                              backend_state reported);

/// \brief The usable backend servers of each deployment; immutable.
using backend_snapshot = std::map<std::string, std::vector<backend_report>>;

/// \brief The backend servers known from their heartbeats and the host list.
class backend_view {
 public:
  /// \param list_lag  how long a server may be missing from the host list
  /// before it counts as removed.
  explicit backend_view(duration list_lag) : list_lag_(list_lag) {}

  /// \returns whether the report was accepted; outdated ones are not.
  bool ApplyHeartbeat(const backend_report& report, time_point now);
  /// An answer of the server's sidecar announced that it leaves.
  /// \returns whether that is new.
  bool AnnounceLeaving(const std::string& id,
                       std::uint64_t incarnation,
                       time_point now);
  /// \brief Applies the host list, which removes servers but never adds any.
  void ApplyHostList(const std::set<std::string>& live,
                     const std::set<std::string>& leaving,
                     time_point now);
  /// \returns the servers that may receive new requests at \p now.
  std::shared_ptr<const backend_snapshot> UsableBackends(time_point now) const;

 private:
  struct entry {
    backend_report report;
    time_point last_heartbeat;
    time_point last_listed;
    bool leaving = false;
  };

  static backend_instance Instance(const std::string& id,
                                   std::uint64_t incarnation);

  duration list_lag_;
  departure_registry departures_;
  std::map<std::string, entry> entries_;
  bool host_list_received_ = false;
  time_point host_list_time_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_MEMBERSHIP_BACKEND_VIEW_H_
