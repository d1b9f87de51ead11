#ifndef CARDAMOMYARD_BATCH_JOB_PICKER_H_
#define CARDAMOMYARD_BATCH_JOB_PICKER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "src/batch/job.h"
#include "src/batch/open_entry.h"

namespace cardamomyard {

/// \brief Chooses the job and the group that a holder works on next.
///
/// The choices are a function of the holder and of the calls made so far.
class job_picker {
 public:
  explicit job_picker(std::string holder);

  /// \brief Draws an account with a probability proportional to its weight and
  /// picks its oldest job. The number of jobs of an account does not matter.
  /// \returns an index into \p entries, or nothing when it is empty.
  std::optional<std::size_t> PickJob(std::span<const open_job_entry> entries);

  /// \returns the unfinished groups of \p job in the order in which this holder
  /// tries them. The first group differs between holders.
  std::vector<std::size_t> GroupOrder(const job_record& job) const;

 private:
  std::string holder_;
  std::uint64_t draws_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_JOB_PICKER_H_
