#ifndef CARDAMOMYARD_ROUTING_ROUND_ROBIN_ROUTER_H_
#define CARDAMOMYARD_ROUTING_ROUND_ROBIN_ROUTER_H_

#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string>

#include "src/base/result.h"
#include "src/routing/candidate_set.h"

namespace cardamomyard {

/// \brief Naive baseline for measurements: cycles through the servers and
/// ignores their load.
class round_robin_router {
 public:
  void Update(std::shared_ptr<const candidate_set> set);
  /// \sa affinity_router::Choose
  result<routing_choice> Choose(std::uint64_t prefix_hash,
                                std::span<const std::string> excluded,
                                time_point now,
                                std::mt19937_64& random);
  void RecordSent(const std::string& /*id*/, time_point /*now*/) {}
  void RecordFinished(const std::string& /*id*/, time_point /*now*/) {}

 private:
  std::shared_ptr<const candidate_set> set_ = candidate_set::Make({});
  std::size_t next_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_ROUND_ROBIN_ROUTER_H_
