#ifndef CARDAMOMYARD_JOBS_APPEND_LIMIT_H_
#define CARDAMOMYARD_JOBS_APPEND_LIMIT_H_

#include <compare>
#include <cstddef>
#include <limits>
#include <vector>

#include "src/jobs/fleet_job.h"

namespace cardamomyard {

/// \brief How many results one write holds at most.
///
/// The store takes or refuses a write as a whole. Halving the write after each
/// refusal finds the result that the store does not accept, and stores all
/// others on the way.
class append_limit {
 public:
  /// Removes the results for the next write, at least one, from the front of
  /// \p results. \returns them in their order.
  std::vector<job_item_result> TakeFrom(
      std::vector<job_item_result>& results) const;
  /// Records that a write of \p count results was refused.
  void Lower(std::size_t count);
  /// Records that a write was accepted, or that the refused result is known.
  void Raise();

  std::size_t max_results() const { return max_results_; }
  friend auto operator<=>(const append_limit&, const append_limit&) = default;

 private:
  std::size_t max_results_ = std::numeric_limits<std::size_t>::max();
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_JOBS_APPEND_LIMIT_H_
