#ifndef CARDAMOMYARD_ROUTING_AFFINITY_ROUTER_H_
#define CARDAMOMYARD_ROUTING_AFFINITY_ROUTER_H_

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

/// \brief Routes to the server with the lowest estimated wait among 3 servers
/// chosen by prompt prefix and 2 chosen at random.
///
/// A choice costs one binary search in the hash ring and five wait estimates,
/// regardless of the number of servers. The random candidates take load off a
/// server whose prefix is popular. Not thread-safe.
class affinity_router {
 public:
  explicit affinity_router(std::string zone, wait_model model = {})
      : selector_(std::move(zone), model) {}

  /// \brief Replaces the snapshot.
  void Update(std::shared_ptr<const candidate_set> set) {
    selector_.Update(std::move(set));
  }
  /// \param prefix_hash  \sa PromptPrefixHash
  /// \param excluded  ids of servers where this request already failed.
  /// \returns the server for the next attempt, or `no_backend`.
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

#endif  // CARDAMOMYARD_ROUTING_AFFINITY_ROUTER_H_
