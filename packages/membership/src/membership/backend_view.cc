#include "src/membership/backend_view.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "cardamomyard/statechart.h"

namespace cardamomyard {
namespace {

constexpr duration kStaleAfter = std::chrono::seconds(3);

}  // namespace

namespace {

constexpr std::array<std::string_view, 4> kStates{"starting", "serving",
                                                  "draining", "down"};

std::string_view NameOf(backend_state state) {
  return kStates[static_cast<std::size_t>(state)];
}

/// \returns the event of the chart backend_server that a report stands for.
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
  const auto* found = std::find(kStates.begin(), kStates.end(), *next);
  if (found == kStates.end()) {
    return std::nullopt;
  }
  return static_cast<backend_state>(found - kStates.begin());
}

bool backend_view::ApplyHeartbeat(const backend_report& report,
                                  time_point now) {
  const auto [it, added] =
      entries_.try_emplace(report.id, entry{report, now, now});
  if (added) {
    return true;
  }
  entry& known = it->second;
  const backend_report& last = known.report;
  if (std::pair(report.incarnation, report.sequence) <=
      std::pair(last.incarnation, last.sequence)) {
    return false;
  }
  backend_report taken = report;
  if (report.incarnation > last.incarnation) {
    // The list may still show the state of the old incarnation, so leaving
    // stays until the list says live.
    known.listed = now;
  } else if (const auto next = NextBackendState(last.state, report.state)) {
    taken.state = *next;
  } else {
    return false;
  }
  known.report = std::move(taken);
  known.heard = now;
  return true;
}

void backend_view::ApplyHostList(const std::set<std::string>& live,
                                 const std::set<std::string>& leaving,
                                 time_point now) {
  list_seen_ = true;
  list_time_ = now;
  for (auto& [id, known] : entries_) {
    if (leaving.contains(id)) {
      known.leaving = true;
      known.listed = now;
    } else if (live.contains(id)) {
      known.leaving = false;
      known.listed = now;
    }
  }
  std::erase_if(entries_, [&](const auto& e) {
    return e.second.listed + list_lag_ < now &&
           e.second.heard + kStaleAfter <= now;
  });
}

std::shared_ptr<const backend_snapshot> backend_view::UsableBackends(
    time_point now) const {
  auto usable = std::make_shared<backend_snapshot>();
  for (const auto& [id, known] : entries_) {
    // Measured at the last list: a list that cannot be read removes nothing.
    const bool missing = list_seen_ && known.listed + list_lag_ < list_time_;
    if (known.report.state == backend_state::serving && !known.leaving &&
        !missing && now < known.heard + kStaleAfter) {
      (*usable)[known.report.deployment].push_back(known.report);
    }
  }
  return usable;
}

}  // namespace cardamomyard
