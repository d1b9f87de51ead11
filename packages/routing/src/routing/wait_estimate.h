#ifndef CARDAMOMYARD_ROUTING_WAIT_ESTIMATE_H_
#define CARDAMOMYARD_ROUTING_WAIT_ESTIMATE_H_

#include <cstdint>

#include "src/routing/backend_candidate.h"

namespace cardamomyard {

/// \brief Parameters of the wait estimate.
struct wait_model {
  /// Engine steps until a queue advances by one position: an answer of about
  /// 128 tokens, over 16 slots.
  int steps_per_queue_position = 8;
  /// Added if the prompt's prefix is not cached.
  duration prefix_miss_penalty = std::chrono::milliseconds(30);
  /// Round trip to another zone. A server of the same zone is preferred unless
  /// its wait is longer by more than this.
  duration zone_penalty = std::chrono::milliseconds(2);

  friend bool operator==(const wait_model&, const wait_model&) = default;
};

namespace internal {

struct wait_estimate {
  duration wait{};
  int backlog = 0;  ///< Queued requests minus free slots.
  bool cached_prefix = false;
};

/// \brief Estimates the wait of one more request at \p candidate.
/// \param unreported  requests sent minus finished since the last report.
wait_estimate EstimateWait(const wait_model& model,
                           const backend_candidate& candidate,
                           int unreported,
                           std::uint64_t prefix_hash,
                           bool same_zone,
                           time_point now);

}  // namespace internal
}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_WAIT_ESTIMATE_H_
