#include "src/routing/round_robin_router.h"

#include <utility>

namespace cardamomyard {

void round_robin_router::Update(std::shared_ptr<const candidate_set> set) {
  set_ = std::move(set);
}

result<routing_choice> round_robin_router::Choose(
    std::uint64_t /*prefix_hash*/,
    std::span<const std::string> excluded,
    time_point /*now*/,
    std::mt19937_64& /*random*/) {
  const auto pick = set_->FirstAllowedFrom(next_, excluded);
  if (!pick) {
    return Fail(error_kind::no_backend,
                "no backend server of the deployment is available");
  }
  next_ = *pick + 1;
  const backend_candidate& candidate = set_->candidates()[*pick];
  return routing_choice{candidate.id, candidate.address, {}, false};
}

}  // namespace cardamomyard
