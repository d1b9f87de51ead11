#include "src/routing/affinity_router.h"

#include <vector>

namespace cardamomyard {
namespace {

constexpr std::size_t kAffinityCandidates = 3;
constexpr int kRandomCandidates = 2;

}  // namespace

result<routing_choice> affinity_router::Choose(
    std::uint64_t prefix_hash,
    std::span<const std::string> excluded,
    time_point now,
    std::mt19937_64& random) {
  const candidate_set& set = selector_.set();
  std::vector<std::size_t> picks =
      set.RingSuccessors(prefix_hash, kAffinityCandidates, excluded);
  for (int i = 0; i < kRandomCandidates && set.size() > 0; ++i) {
    if (const auto pick =
            set.FirstAllowedFrom(random() % set.size(), excluded)) {
      picks.push_back(*pick);
    }
  }
  return selector_.Choose(picks, prefix_hash, now);
}

}  // namespace cardamomyard
