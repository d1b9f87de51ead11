#include "src/routing/wait_estimate.h"

#include <algorithm>

namespace cardamomyard::internal {

wait_estimate EstimateWait(const wait_model& model,
                           const backend_candidate& candidate,
                           int unreported,
                           std::uint64_t prefix_hash,
                           bool same_zone,
                           time_point now) {
  wait_estimate estimate;
  const duration time_per_position = std::max<duration>(
      candidate.step_time * model.steps_per_queue_position, duration(1));
  const auto elapsed = std::max<duration>(now - candidate.report_time, {});
  const int expected_finished = static_cast<int>(
      std::min<duration::rep>(elapsed / time_per_position, 1 << 20));
  const int queue =
      std::max(0, candidate.queue_length + std::max(0, unreported) -
                      expected_finished) +
      std::min(0, unreported);
  estimate.backlog = queue - candidate.free_slots;
  estimate.cached_prefix =
      std::binary_search(candidate.prefix_digests.begin(),
                         candidate.prefix_digests.end(), prefix_hash);
  estimate.wait =
      candidate.step_time +
      time_per_position * std::max(0, estimate.backlog + 1) +
      (estimate.cached_prefix ? duration{} : model.prefix_miss_penalty) +
      (same_zone ? duration{} : model.zone_penalty);
  return estimate;
}

}  // namespace cardamomyard::internal
