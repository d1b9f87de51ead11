#ifndef CARDAMOMYARD_JOBS_FLEET_JOB_H_
#define CARDAMOMYARD_JOBS_FLEET_JOB_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \brief One item of a batch job, as submitted.
struct job_item {
  std::string id;
  std::string path;
  header_list headers;
  std::string body;
  /// Tokens of its prompt and the most that it may generate.
  std::int64_t tokens = 0;
  friend bool operator==(const job_item&, const job_item&) = default;
};

/// \brief What a caller submits. Immutable once stored.
struct job_input {
  std::vector<job_item> items;

  std::int64_t tokens() const;
  const job_item* Find(const std::string& item) const;
  friend bool operator==(const job_input&, const job_input&) = default;
};

/// \brief The small record of a batch job, which all workers watch. The job is
/// accepted once this record is created.
struct fleet_job {
  std::string id;
  std::string account;
  std::string route;        ///< Name of the batch route.
  std::string host;         ///< Host name that the items are sent with.
  std::string owner;        ///< Worker that runs it; empty if none is known.
  std::int64_t total = 0;   ///< Number of items.
  std::int64_t tokens = 0;  ///< Tokens of all items.
  /// The items of a small job, so that accepting it takes one write. The items
  /// of a larger one are in separate records.
  std::vector<job_item> items;
  std::int64_t input_parts = 0;  ///< Number of separate records of its items.
  /// Number of takeovers by another worker. While it is 0, only the first owner
  /// has stored results.
  std::int64_t owner_changes = 0;
  std::int64_t submitted_unix_ms = 0;
  bool cancelled = false;  ///< Cancelled by its caller.
  bool finished = false;   ///< Every item has a result, or it was cancelled.

  friend bool operator==(const fleet_job&, const fleet_job&) = default;
};

/// \brief A result as a page holds it.
struct listed_result {
  std::string item;
  bool completed = false;
  std::string text;  ///< Empty when separate records hold it.
  /// Number of separate records that hold the text, and their common name.
  std::int64_t text_parts = 0;
  std::string text_name;
  friend bool operator==(const listed_result&, const listed_result&) = default;
};

/// \brief The results of a job in the order in which they became final. Pages
/// before the last one are sealed and never change.
struct job_results {
  /// Number of results of each sealed page.
  std::vector<std::int64_t> sealed_page_sizes;
  std::vector<listed_result> open_page;
  /// Grows when another worker takes the job over, which also changes the
  /// value: the store gives a new revision only to a changed value.
  std::int64_t fencing_token = 0;

  std::int64_t sealed_count() const;
  std::int64_t count() const {
    return sealed_count() + static_cast<std::int64_t>(open_page.size());
  }
  friend bool operator==(const job_results&, const job_results&) = default;
};

std::string EncodeRecord(const fleet_job& record);
std::string EncodeInput(const std::vector<job_item>& items);
std::string EncodeResults(const job_results& results);
std::string EncodePage(const std::vector<listed_result>& results);
std::string EncodeListedResult(const listed_result& listed);

/// Each returns `internal` for a value that this version cannot read.
result<fleet_job> DecodeRecord(const std::string& id, const std::string& value);
result<std::vector<job_item>> DecodeInput(const std::string& value);
result<job_results> DecodeResults(const std::string& value);
result<std::vector<listed_result>> DecodePage(const std::string& value);

/// Measures a value as a store does.
using value_size = std::function<std::size_t(const std::string& value)>;

/// \brief Splits a job's items into parts whose size is at most \p max_bytes
/// each.
/// \returns `too_large` when one item alone is larger.
result<std::vector<std::string>> EncodeInputParts(const job_input& input,
                                                  const value_size& size,
                                                  std::size_t max_bytes);

/// \brief Splits a text, between characters, into parts whose size is at most
/// \p max_bytes each.
std::vector<std::string> SplitText(const std::string& text,
                                   const value_size& size,
                                   std::size_t max_bytes);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_JOBS_FLEET_JOB_H_
