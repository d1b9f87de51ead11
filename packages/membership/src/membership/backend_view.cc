#include "src/membership/backend_view.h"

#include <utility>

namespace cardamomyard {
namespace {

constexpr duration kStaleAfter = std::chrono::seconds(3);

}  // namespace

bool MayFollow(backend_state from, backend_state to) {
  switch (from) {
    case backend_state::starting:
    case backend_state::serving:
      return to != backend_state::starting || from == to;
    case backend_state::draining:
      return to == backend_state::draining || to == backend_state::down;
    case backend_state::down:
      return to != backend_state::draining;
  }
  return false;
}

bool backend_view::Heartbeat(const backend_report& report, time_point now) {
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
  if (report.incarnation > last.incarnation) {
    // The list may still show the state of the old incarnation, so leaving
    // stays until the list says live.
    known.listed = now;
  } else if (!MayFollow(last.state, report.state)) {
    return false;
  }
  known.report = report;
  known.heard = now;
  return true;
}

void backend_view::HostList(const std::set<std::string>& live,
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

std::shared_ptr<const backend_snapshot> backend_view::Usable(
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
