#include "src/routing/lowest_wait.h"

#include <cassert>
#include <utility>

namespace cardamomyard::internal {

lowest_wait_selector::lowest_wait_selector(std::string zone, wait_model model)
    : zone_(std::move(zone)), model_(model), set_(candidate_set::Make({})) {}

void lowest_wait_selector::Update(std::shared_ptr<const candidate_set> set) {
  assert(set != nullptr && "the snapshot must not be null");
  set_ = std::move(set);
  unreported_.Prune(*set_);
}

result<routing_choice> lowest_wait_selector::Choose(
    std::span<const std::size_t> picks,
    std::uint64_t prefix_hash,
    time_point now) {
  const backend_candidate* best = nullptr;
  wait_estimate lowest;
  for (const std::size_t pick : picks) {
    const backend_candidate& candidate = set_->candidates()[pick];
    const auto estimate =
        EstimateWait(model_, candidate,
                     unreported_.NetSince(candidate.id, candidate.report_time),
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

}  // namespace cardamomyard::internal
