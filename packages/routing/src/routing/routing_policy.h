#ifndef CARDAMOMYARD_ROUTING_ROUTING_POLICY_H_
#define CARDAMOMYARD_ROUTING_ROUTING_POLICY_H_

#include <memory>
#include <random>
#include <span>
#include <string>
#include <variant>

#include "src/routing/affinity_router.h"
#include "src/routing/least_loaded_router.h"
#include "src/routing/round_robin_router.h"

namespace cardamomyard {

/// \brief Router of one deployment, with the configured policy.
class router {
 public:
  using policy =
      std::variant<affinity_router, round_robin_router, least_loaded_router>;

  explicit router(policy value) : policy_(std::move(value)) {}

  void Update(std::shared_ptr<const candidate_set> set) {
    std::visit([&](auto& chosen) { chosen.Update(std::move(set)); }, policy_);
  }
  /// \sa affinity_router::Choose
  result<routing_choice> Choose(std::uint64_t prefix_hash,
                                std::span<const std::string> excluded,
                                time_point now,
                                std::mt19937_64& random) {
    return std::visit(
        [&](auto& chosen) {
          return chosen.Choose(prefix_hash, excluded, now, random);
        },
        policy_);
  }
  /// \brief Counts a request sent to server \p id.
  void RecordSent(const std::string& id, time_point now) {
    std::visit([&](auto& chosen) { chosen.RecordSent(id, now); }, policy_);
  }
  /// \brief Counts a request that ended at server \p id, with any outcome.
  void RecordFinished(const std::string& id, time_point now) {
    std::visit([&](auto& chosen) { chosen.RecordFinished(id, now); }, policy_);
  }

 private:
  policy policy_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_ROUTING_POLICY_H_
