#include "src/routing/candidate_set.h"

#include <algorithm>

#include "src/base/digest.h"

namespace cardamomyard {
namespace {

// The relative deviation of a server's share is about 1/sqrt(16), a quarter.
constexpr std::uint64_t kPointsPerServer = 16;

std::shared_ptr<const internal::hash_ring> BuildRing(
    std::span<const backend_candidate> candidates) {
  auto ring = std::make_shared<internal::hash_ring>();
  ring->reserve(candidates.size() * kPointsPerServer);
  for (std::uint32_t i = 0; i < candidates.size(); ++i) {
    for (std::uint64_t point = 0; point < kPointsPerServer; ++point) {
      ring->emplace_back(Hash64(candidates[i].id, point), i);
    }
  }
  std::sort(ring->begin(), ring->end());
  return ring;
}

}  // namespace

namespace internal {

bool IsExcluded(std::string_view id, std::span<const std::string> excluded) {
  return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

}  // namespace internal

std::shared_ptr<const candidate_set> candidate_set::Make(
    std::vector<backend_candidate> candidates,
    const candidate_set* previous) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto& a, const auto& b) { return a.id < b.id; });
  const auto same_id = [](const auto& a, const auto& b) {
    return a.id == b.id;
  };
  candidates.erase(std::unique(candidates.begin(), candidates.end(), same_id),
                   candidates.end());
  for (auto& candidate : candidates) {
    std::sort(candidate.prefix_digests.begin(), candidate.prefix_digests.end());
  }
  std::shared_ptr<candidate_set> set(new candidate_set());
  if (previous != nullptr && std::equal(candidates.begin(), candidates.end(),
                                        previous->candidates_.begin(),
                                        previous->candidates_.end(), same_id)) {
    set->ring_ = previous->ring_;
  } else {
    set->ring_ = BuildRing(candidates);
  }
  set->candidates_ = std::move(candidates);
  return set;
}

std::vector<std::size_t> candidate_set::RingSuccessors(
    std::uint64_t key,
    std::size_t count,
    std::span<const std::string> excluded) const {
  std::vector<std::size_t> chosen;
  const internal::hash_ring& ring = *ring_;
  const auto first =
      std::lower_bound(ring.begin(), ring.end(), internal::ring_point{key, 0});
  const std::size_t wanted = std::min(count, candidates_.size());
  // Neighbouring points belong to random servers, so few points are visited.
  // The limit takes effect only when nearly every server is excluded.
  const std::size_t max_points =
      std::min(ring.size(), (wanted + excluded.size()) * 2 * kPointsPerServer);
  auto position = static_cast<std::size_t>(first - ring.begin());
  for (std::size_t i = 0; i < max_points && chosen.size() < wanted; ++i) {
    const std::size_t index = ring[(position + i) % ring.size()].second;
    if (std::find(chosen.begin(), chosen.end(), index) == chosen.end() &&
        !internal::IsExcluded(candidates_[index].id, excluded)) {
      chosen.push_back(index);
    }
  }
  return chosen;
}

std::optional<std::size_t> candidate_set::FirstAllowedFrom(
    std::size_t start,
    std::span<const std::string> excluded) const {
  // One step more than there are excluded ids reaches an allowed server,
  // if there is one.
  const std::size_t steps = std::min(candidates_.size(), excluded.size() + 1);
  for (std::size_t i = 0; i < steps; ++i) {
    const std::size_t index = (start + i) % candidates_.size();
    if (!internal::IsExcluded(candidates_[index].id, excluded)) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace cardamomyard
