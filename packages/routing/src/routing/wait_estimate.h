#ifndef CARDAMOMYARD_ROUTING_WAIT_ESTIMATE_H_
#define CARDAMOMYARD_ROUTING_WAIT_ESTIMATE_H_

#include <cstdint>

#include "src/routing/backend_candidate.h"

namespace cardamomyard {

/// \brief Constants of the estimate of a request's wait.
struct wait_model {
  /// Steps until the next place in a queue moves up: an answer of about 128
  /// tokens over 16 slots.
  int steps_per_queue_position = 8;
  /// Cost of a prompt whose prefix is not cached.
  duration prefix_miss_penalty = std::chrono::milliseconds(30);
  /// Round trip to another zone. Waits that differ by less count as equal, so
  /// the same zone wins.
  duration zone_penalty = std::chrono::milliseconds(2);

  friend bool operator==(const wait_model&, const wait_model&) = default;
};

namespace internal {

struct wait_estimate {
  duration wait{};
  int backlog = 0;  ///< Requests beyond the free slots; negative when free.
  bool cached_prefix = false;
};

/// \brief Estimates the wait of one more request at \p candidate.
/// \param unreported  requests sent minus finished since the report.
wait_estimate EstimateWait(const wait_model& model,
                           const backend_candidate& candidate,
                           int unreported,
                           std::uint64_t prefix_hash,
                           bool same_zone,
                           time_point now);

}  // namespace internal
}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_WAIT_ESTIMATE_H_
