#include "src/routing/unreported_load.h"

namespace cardamomyard::internal {

void unreported_load::Add(const std::string& id, time_point now, int delta) {
  changes& entry = changes_[id];
  entry.recent.emplace_back(now, delta);
  entry.sum += delta;
}

void unreported_load::DropReported(changes& entry, time_point report_time) {
  while (!entry.recent.empty() && entry.recent.front().first < report_time) {
    entry.sum -= entry.recent.front().second;
    entry.recent.pop_front();
  }
}

int unreported_load::NetSince(const std::string& id, time_point report_time) {
  const auto found = changes_.find(id);
  if (found == changes_.end()) {
    return 0;
  }
  DropReported(found->second, report_time);
  return found->second.sum;
}

void unreported_load::Prune(const candidate_set& set) {
  std::unordered_map<std::string, changes> kept;
  for (const backend_candidate& candidate : set.candidates()) {
    const auto found = changes_.find(candidate.id);
    if (found != changes_.end()) {
      DropReported(found->second, candidate.report_time);
      kept.emplace(candidate.id, std::move(found->second));
    }
  }
  changes_ = std::move(kept);
}

}  // namespace cardamomyard::internal
