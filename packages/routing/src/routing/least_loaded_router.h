#ifndef CARDAMOMYARD_ROUTING_LEAST_LOADED_ROUTER_H_
#define CARDAMOMYARD_ROUTING_LEAST_LOADED_ROUTER_H_

#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string>

#include "src/base/result.h"
#include "src/routing/candidate_set.h"
#include "src/routing/unreported_load.h"
#include "src/routing/wait_estimate.h"

namespace cardamomyard {

/// \brief Compares every server. Linear in their number, so it suits plain
/// services, which have few servers and no prompt cache.
class least_loaded_router {
 public:
  explicit least_loaded_router(std::string zone, wait_model model = {});

  void Update(std::shared_ptr<const candidate_set> set);
  /// \sa affinity_router::Choose
  result<routing_choice> Choose(std::uint64_t prefix_hash,
                                std::span<const std::string> excluded,
                                time_point now,
                                std::mt19937_64& random);
  void Sent(const std::string& id, time_point now) { load_.Sent(id, now); }
  void Finished(const std::string& id, time_point now) {
    load_.Finished(id, now);
  }

 private:
  std::string zone_;
  wait_model model_;
  std::shared_ptr<const candidate_set> set_;
  internal::unreported_load load_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_LEAST_LOADED_ROUTER_H_
