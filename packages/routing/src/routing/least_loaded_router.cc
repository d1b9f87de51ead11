#include "src/routing/least_loaded_router.h"

#include <vector>

namespace cardamomyard {

result<routing_choice> least_loaded_router::Choose(
    std::uint64_t prefix_hash,
    std::span<const std::string> excluded,
    time_point now,
    std::mt19937_64& random) {
  const auto candidates = selector_.set().candidates();
  // The first of several equal waits wins, so a random start distributes ties.
  const std::size_t start =
      candidates.empty() ? 0 : random() % candidates.size();
  std::vector<std::size_t> picks;
  picks.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::size_t pick = (start + i) % candidates.size();
    if (!internal::IsExcluded(candidates[pick].id, excluded)) {
      picks.push_back(pick);
    }
  }
  return selector_.Choose(picks, prefix_hash, now);
}

}  // namespace cardamomyard
