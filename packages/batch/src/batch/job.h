#ifndef CARDAMOMYARD_BATCH_JOB_H_
#define CARDAMOMYARD_BATCH_JOB_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/batch/file_manifest.h"
#include "src/batch/item.h"

namespace cardamomyard {

/// `failed` means that every item failed.
enum class job_state { in_progress, cancelling, completed, cancelled, failed };

std::string_view ToString(job_state value);

/// \brief Record of a job, stored as `batch/job/<job id>` and written by
/// conditional update.
struct job_record {
  std::string id;
  std::string account;
  std::string file_id;
  std::string endpoint;
  job_state state = job_state::in_progress;
  std::uint64_t items = 0;
  std::vector<bool> done;  ///< Whether each group is done.
  item_counts counts;
  wall_time created;
  std::uint64_t fence = 0;  ///< Number of changes.
  std::string nonce;        ///< Differs for every write.

  bool finished() const {
    return state != job_state::in_progress && state != job_state::cancelling;
  }
  std::string ToJson() const;
  static result<job_record> Parse(std::string_view text);
  friend bool operator==(const job_record&, const job_record&) = default;
};

/// \returns the job id, which is the same for the same arguments.
std::string JobId(std::string_view account,
                  std::string_view file_id,
                  std::string_view endpoint,
                  std::string_view idempotency_key);

/// \brief Makes the record of a new job, to be stored create-only.
///
/// When a record with this id exists already, it is the answer to the request.
result<job_record> CreateJob(std::string_view account,
                             const file_manifest& manifest,
                             std::string_view endpoint,
                             std::string_view idempotency_key,
                             wall_time now,
                             std::string nonce);

/// \brief Adds the counts of a finished group; the last group ends the job.
/// \returns the new record; the same record when the group is counted already;
/// or `conflict` when the job is being cancelled or has ended.
result<job_record> MarkGroupDone(job_record job,
                                 std::size_t group,
                                 const item_counts& counts,
                                 std::string nonce);

/// \returns the job in state `cancelling` (unchanged when it is cancelling or
/// cancelled already), or `conflict` when it has ended otherwise.
result<job_record> StartCancel(job_record job, std::string nonce);

/// \brief Ends a cancellation after every group record was closed.
/// \param totals  sum of the counts of all group records; must cover every
/// item.
result<job_record> FinishCancel(job_record job,
                                const item_counts& totals,
                                std::string nonce);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_JOB_H_
