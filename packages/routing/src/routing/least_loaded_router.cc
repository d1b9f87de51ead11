#include "src/routing/least_loaded_router.h"

#include <utility>

namespace cardamomyard {

least_loaded_router::least_loaded_router(std::string zone, wait_model model)
    : zone_(std::move(zone)), model_(model), set_(candidate_set::Make({})) {}

void least_loaded_router::Update(std::shared_ptr<const candidate_set> set) {
  set_ = std::move(set);
  load_.Prune(*set_);
}

result<routing_choice> least_loaded_router::Choose(
    std::uint64_t prefix_hash,
    std::span<const std::string> excluded,
    time_point now,
    std::mt19937_64& random) {
  const auto candidates = set_->candidates();
  // A random start spreads equal waits over the servers.
  const std::size_t start = candidates.empty() ? 0 : random() % set_->size();
  const backend_candidate* best = nullptr;
  internal::wait_estimate lowest;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& candidate = candidates[(start + i) % candidates.size()];
    if (internal::IsExcluded(candidate.id, excluded)) {
      continue;
    }
    const auto estimate = internal::EstimateWait(
        model_, candidate, load_.Net(candidate.id, candidate.report_time),
        prefix_hash, candidate.zone == zone_, now);
    if (best == nullptr || std::pair(estimate.wait, estimate.backlog) <
                               std::pair(lowest.wait, lowest.backlog)) {
      best = &candidate;
      lowest = estimate;
    }
  }
  if (best == nullptr) {
    return Fail(error_kind::no_backend,
                "no backend server of the deployment is available");
  }
  return routing_choice{best->id, best->address, lowest.wait,
                        lowest.cached_prefix};
}

}  // namespace cardamomyard
