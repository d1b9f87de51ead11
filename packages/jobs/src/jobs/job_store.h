#ifndef CARDAMOMYARD_JOBS_JOB_STORE_H_
#define CARDAMOMYARD_JOBS_JOB_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/store.h"
#include "src/jobs/fleet_job.h"

namespace cardamomyard {

/// A job's record with its revision in the store.
struct stored_job {
  fleet_job record;
  std::uint64_t revision = 0;
};

/// A job's results with the revision of their last page; 0 when none is stored.
struct stored_results {
  job_results results;
  std::uint64_t revision = 0;
};

/// \brief Batch jobs in the platform's store.
///
/// Kinds: `batch-job` (fleet_job, with the items of a small job),
/// `batch-input` (items of a larger one, immutable), `batch-result` (last page
/// of results), `batch-page` (sealed pages) and `batch-text` (texts that are
/// too long for a page, immutable). A job exists once its record is created,
/// which happens after its input is stored.
class job_store {
 public:
  static constexpr const char* kJobKind = "batch-job";

  job_store(object_store& store, const clock& time);

  /// Stores a job; succeeds if the same job is stored already.
  /// \returns an error with outcome `not_run` only if the job certainly does
  /// not exist.
  boost::asio::awaitable<result<void>> Accept(fleet_job record,
                                              const job_input& input,
                                              time_point deadline);
  boost::asio::awaitable<result<std::optional<stored_job>>> Read(
      std::string job);
  /// \returns the new revision, or `conflict`.
  boost::asio::awaitable<result<std::uint64_t>> Update(fleet_job record,
                                                       std::uint64_t revision);
  /// Marks a job as cancelled by its caller. \returns the worker that owns it,
  /// or `not_found` for a job that does not exist or belongs to another
  /// account.
  boost::asio::awaitable<result<std::string>> Cancel(std::string job,
                                                     std::string account,
                                                     time_point deadline);
  boost::asio::awaitable<result<job_input>> ReadInput(fleet_job record);
  boost::asio::awaitable<result<stored_results>> ReadResults(std::string job);
  /// \brief Reads the results for a worker that takes a job over and raises
  /// their fencing token, so that the earlier owner's next Append() is a
  /// conflict.
  ///
  /// Otherwise an owner that was cut off would store its finished results when
  /// it is back.
  /// \returns the results with the new token, or `conflict` when the earlier
  /// owner wrote in between.
  boost::asio::awaitable<result<stored_results>> FenceResults(std::string job);
  /// \returns the results from position \p after on; at least one if one
  /// exists, and about \p max_bytes at most.
  boost::asio::awaitable<result<std::vector<job_item_result>>> ReadFrom(
      std::string job,
      const job_results& results,
      std::int64_t after,
      std::size_t max_bytes);
  /// \brief Appends as many of \p new_results, from the first one on, as one
  /// write can hold to \p current, the results as last read; at least one if
  /// there is one.
  ///
  /// A lost answer is resolved by reading back.
  /// \returns the results as stored, or `conflict` when another worker wrote.
  boost::asio::awaitable<result<stored_results>> Append(
      std::string job,
      stored_results current,
      std::vector<job_item_result> new_results);
  /// Removes all records of a job.
  boost::asio::awaitable<void> Remove(fleet_job record, job_results results);

 private:
  /// Writes the open results as a sealed page. \returns the number of
  /// results in it.
  boost::asio::awaitable<result<std::size_t>> Seal(std::string job,
                                                   const job_results& results);
  /// Seals the open page of \p results and removes what was sealed from it.
  boost::asio::awaitable<result<void>> StartPage(std::string job,
                                                 job_results& results);
  /// \returns \p entry as a page of at most page_limit() can hold it.
  listed_result ListResult(const job_item_result& entry) const;
  /// Stores the text of \p entry in separate records if \p listed says so.
  boost::asio::awaitable<result<void>> StoreText(std::string job,
                                                 const listed_result& listed,
                                                 const job_item_result& entry);
  boost::asio::awaitable<result<std::string>> ReadText(
      std::string job,
      const listed_result& listed);
  boost::asio::awaitable<void> RemoveTexts(
      std::string job,
      const std::vector<listed_result>& page);
  boost::asio::awaitable<result<std::vector<listed_result>>> ReadPage(
      std::string job,
      std::int64_t page);

  std::size_t value_limit() const;
  std::size_t page_limit() const;
  std::size_t Size(const listed_result& listed) const;
  std::size_t Size(const std::vector<listed_result>& page) const;
  std::vector<std::string> TextParts(const std::string& text) const;

  object_store* store_;
  const clock* clock_;
};

/// \returns the results of \p list from \p from on whose texts, as JSON, fit
/// into \p max_bytes, at least one.
std::vector<job_item_result> SliceResults(
    const std::vector<job_item_result>& list,
    std::size_t from,
    std::size_t max_bytes);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_JOBS_JOB_STORE_H_
