#ifndef CARDAMOMYARD_ROUTING_LEAST_LOADED_ROUTER_H_
#define CARDAMOMYARD_ROUTING_LEAST_LOADED_ROUTER_H_

#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <utility>

#include "src/base/result.h"
#include "src/routing/candidate_set.h"
#include "src/routing/lowest_wait.h"

namespace cardamomyard {

/// \brief Routes to the server with the lowest estimated wait among all
/// servers.
///
/// Linear in the number of servers, so it suits plain services, which have few
/// servers and no prompt cache.
class least_loaded_router {
 public:
  explicit least_loaded_router(std::string zone, wait_model model = {})
      : selector_(std::move(zone), model) {}

  void Update(std::shared_ptr<const candidate_set> set) {
    selector_.Update(std::move(set));
  }
  /// \sa affinity_router::Choose
  result<routing_choice> Choose(std::uint64_t prefix_hash,
                                std::span<const std::string> excluded,
                                time_point now,
                                std::mt19937_64& random);
  void RecordSent(const std::string& id, time_point now) {
    selector_.RecordSent(id, now);
  }
  void RecordFinished(const std::string& id, time_point now) {
    selector_.RecordFinished(id, now);
  }

 private:
  internal::lowest_wait_selector selector_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_LEAST_LOADED_ROUTER_H_
