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

namespace cardamomyard {

enum class backend_state { starting, serving, draining, down };

/// \brief What a sidecar reports each second about its backend server.
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

/// \returns the state after a report within one incarnation, by the chart
/// backend_server; nothing when the report cannot follow. A drain is final.
std::optional<backend_state> NextBackendState(backend_state from,
                                              backend_state reported);

/// \brief The usable backend servers of each deployment; immutable.
using backend_snapshot = std::map<std::string, std::vector<backend_report>>;

/// \brief The backend servers as their heartbeats and the host list show them.
class backend_view {
 public:
  /// \param list_lag  how long a host may be missing from the list before it
  /// counts as removed.
  explicit backend_view(duration list_lag) : list_lag_(list_lag) {}

  /// \returns whether the report was taken; an old one is not.
  bool ApplyHeartbeat(const backend_report& report, time_point now);
  /// \brief Applies the host list. It only removes servers.
  void ApplyHostList(const std::set<std::string>& live,
                     const std::set<std::string>& leaving,
                     time_point now);
  /// \returns the servers that may get new work at \p now.
  std::shared_ptr<const backend_snapshot> UsableBackends(time_point now) const;

 private:
  struct entry {
    backend_report report;
    time_point heard;
    time_point listed;
    bool leaving = false;
  };

  duration list_lag_;
  std::map<std::string, entry> entries_;
  bool list_seen_ = false;
  time_point list_time_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_MEMBERSHIP_BACKEND_VIEW_H_
