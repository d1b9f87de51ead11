#include "src/routing/affinity_router.h"

#include <cassert>
#include <utility>

namespace cardamomyard {
namespace {

constexpr std::size_t kAffinityCandidates = 3;
constexpr int kRandomCandidates = 2;

}  // namespace

affinity_router::affinity_router(std::string zone, wait_model model)
    : zone_(std::move(zone)), model_(model), set_(candidate_set::Make({})) {}

void affinity_router::Update(std::shared_ptr<const candidate_set> set) {
  assert(set != nullptr && "a router needs a snapshot");
  set_ = std::move(set);
  load_.Prune(*set_);
}

result<routing_choice> affinity_router::Choose(
    std::uint64_t prefix_hash,
    std::span<const std::string> excluded,
    time_point now,
    std::mt19937_64& random) {
  std::vector<std::size_t> picks =
      set_->Affinity(prefix_hash, kAffinityCandidates, excluded);
  for (int i = 0; i < kRandomCandidates && set_->size() > 0; ++i) {
    if (const auto pick = set_->NextFrom(random() % set_->size(), excluded)) {
      picks.push_back(*pick);
    }
  }
  const backend_candidate* best = nullptr;
  internal::wait_estimate lowest;
  for (const std::size_t pick : picks) {
    const backend_candidate& candidate = set_->candidates()[pick];
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
