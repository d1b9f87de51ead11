#ifndef CARDAMOMYARD_ROUTING_LOWEST_WAIT_H_
#define CARDAMOMYARD_ROUTING_LOWEST_WAIT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "src/base/result.h"
#include "src/routing/candidate_set.h"
#include "src/routing/unreported_load.h"
#include "src/routing/wait_estimate.h"

namespace cardamomyard::internal {

/// \brief Selects the server with the lowest estimated wait among given
/// candidates of a snapshot, taking into account the requests sent and finished
/// since the servers' last reports.
class lowest_wait_selector {
 public:
  lowest_wait_selector(std::string zone, wait_model model);

  const candidate_set& set() const { return *set_; }
  /// \brief Replaces the snapshot.
  void Update(std::shared_ptr<const candidate_set> set);
  /// \param picks  indexes into the snapshot; the first of equal waits wins.
  /// \returns the choice, or `no_backend` if \p picks is empty.
  result<routing_choice> Choose(std::span<const std::size_t> picks,
                                std::uint64_t prefix_hash,
                                time_point now);
  void RecordSent(const std::string& id, time_point now) {
    unreported_.RecordSent(id, now);
  }
  void RecordFinished(const std::string& id, time_point now) {
    unreported_.RecordFinished(id, now);
  }

 private:
  std::string zone_;
  wait_model model_;
  std::shared_ptr<const candidate_set> set_;
  unreported_load unreported_;
};

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_ROUTING_LOWEST_WAIT_H_
