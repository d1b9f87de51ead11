#ifndef CARDAMOMYARD_ROUTING_BACKEND_CANDIDATE_H_
#define CARDAMOMYARD_ROUTING_BACKEND_CANDIDATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace cardamomyard {

/// \brief State of a backend server as of its last heartbeat.
struct backend_candidate {
  std::string id;
  std::string zone;
  std::string address;
  int free_slots = 0;  ///< Slots that online requests can take now.
  int queue_length = 0;
  /// Duration of one step of the engine's running batch.
  duration step_time = std::chrono::milliseconds(20);
  /// Hashes of cached prompt prefixes. \sa PromptPrefixHash
  std::vector<std::uint64_t> prefix_digests;
  time_point report_time;  ///< Arrival of the heartbeat, local clock.

  friend bool operator==(const backend_candidate&,
                         const backend_candidate&) = default;
};

/// \brief Backend server chosen for one attempt.
struct routing_choice {
  std::string id;
  std::string address;
  duration estimated_wait{};
  bool cached_prefix = false;

  friend bool operator==(const routing_choice&,
                         const routing_choice&) = default;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_BACKEND_CANDIDATE_H_
