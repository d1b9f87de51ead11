#include "src/membership/backend_view.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "cardamomyard/statechart.h"

namespace cardamomyard {
namespace {

constexpr duration kHeartbeatTimeout = std::chrono::seconds(3);

}  // namespace

namespace {

constexpr std::array<std::string_view, 4> kStateNames{"starting", "serving",
                                                      "draining", "down"};

std::string_view NameOf(backend_state state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

/// \returns the event of the state chart backend_server for a reported state.
std::string_view EventOf(backend_state reported) {
  switch (reported) {
    case backend_state::starting:
      return "restart";
    case backend_state::serving:
      return "ready";
    case backend_state::draining:
      return "drain";
    case backend_state::down:
      return "fail";
  }
  return "";
}

}  // namespace

std::optional<backend_state> NextBackendState(backend_state from,
                                              backend_state reported) {
  if (from == reported) {
    return from;
  }
  const auto next =
      ActiveCharts().backend_server.Next(NameOf(from), EventOf(reported));
  if (!next) {
    return std::nullopt;
  }
  const auto* found = std::find(kStateNames.begin(), kStateNames.end(), *next);
  if (found == kStateNames.end()) {
    return std::nullopt;
  }
  return static_cast<backend_state>(found - kStateNames.begin());
}

bool backend_view::ApplyHeartbeat(const backend_report& report,
                                  time_point now) {
  const auto [it, added] =
      entries_.try_emplace(report.id, entry{report, now, now});
  if (added) {
    return true;
  }
  entry& known = it->second;
  const backend_report& previous = known.report;
  if (std::pair(report.incarnation, report.sequence) <=
      std::pair(previous.incarnation, previous.sequence)) {
    return false;
  }
  backend_report accepted = report;
  if (report.incarnation > previous.incarnation) {
    // The host list may still describe the previous incarnation, so a server
    // that is leaving stays so until the list shows it as live.
    known.last_listed = now;
    departures_.EndReplaced(
        Instance(report.id, report.incarnation),
        [this](const std::string& id) { return entries_.contains(id); });
  } else if (const auto next = NextBackendState(previous.state, report.state)) {
    accepted.state = *next;
  } else {
    return false;
  }
  known.report = std::move(accepted);
  known.last_heartbeat = now;
  return true;
}

backend_instance backend_view::Instance(const std::string& id,
                                        std::uint64_t incarnation) {
  // The id stands for the address, as an incarnation never changes it.
  return {id, id, static_cast<std::int64_t>(incarnation), incarnation};
}

bool backend_view::AnnounceLeaving(const std::string& id,
                                   std::uint64_t incarnation,
                                   time_point now) {
  return departures_.Announce(Instance(id, incarnation), now);
}

void backend_view::ApplyHostList(const std::set<std::string>& live,
                                 const std::set<std::string>& leaving,
                                 time_point now) {
  host_list_received_ = true;
  host_list_time_ = now;
  for (auto& [id, known] : entries_) {
    if (leaving.contains(id)) {
      known.leaving = true;
      known.last_listed = now;
    } else if (live.contains(id)) {
      known.leaving = false;
      known.last_listed = now;
    }
  }
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.last_listed + list_lag_ < now &&
           item.second.last_heartbeat + kHeartbeatTimeout <= now;
  });
}

std::shared_ptr<const backend_snapshot> backend_view::UsableBackends(
    time_point now) const {
  auto usable = std::make_shared<backend_snapshot>();
  for (const auto& [id, known] : entries_) {
    // Compared with the time of the last list, so that an unreadable list
    // removes no server.
    const bool missing =
        host_list_received_ && known.last_listed + list_lag_ < host_list_time_;
    const bool announced =
        departures_.StateOf(Instance(id, known.report.incarnation)) !=
        departure_state::none;
    if (known.report.state == backend_state::serving && !known.leaving &&
        !announced && !missing &&
        now < known.last_heartbeat + kHeartbeatTimeout) {
      (*usable)[known.report.deployment].push_back(known.report);
    }
  }
  return usable;
}

}  // namespace cardamomyard
