#ifndef CARDAMOMYARD_BATCH_SEGMENT_H_
#define CARDAMOMYARD_BATCH_SEGMENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/result.h"
#include "src/batch/group.h"
#include "src/batch/item.h"

namespace cardamomyard {

/// \brief Answer to one item, as written to its result line.
struct item_answer {
  std::size_t item = 0;
  std::string custom_id;
  std::string request_id;
  int status = 0;    ///< 0 when no answer arrived.
  std::string body;  ///< JSON text; other text becomes a JSON string.
  std::optional<error_kind> failure;  ///< Set for failed items.
  std::string message;
};

/// \returns one line in the batch output format, without newline.
std::string FormatResultLine(std::string_view job_id,
                             std::size_t group,
                             const item_answer& answer);

/// \returns the token counts in `usage` of an answer's body, or zeros.
token_usage ReadUsage(std::string_view body);

/// \brief Collects the result lines of one segment.
class segment_builder {
 public:
  segment_builder(std::string job_id, std::size_t group);

  /// \brief Adds the result line of \p answer.
  /// \returns true; false when the segment is full and must be committed first;
  /// or `too_large` when the line does not fit into any segment.
  result<bool> Add(const item_answer& answer);
  /// \returns the text of the segment, and starts a new one.
  std::string Take();
  bool empty() const { return text_.empty(); }

 private:
  std::string job_id_;
  std::size_t group_;
  std::string text_;
};

/// \brief Result lines, separated by the file that they go to.
struct result_lines {
  std::string output;  ///< Lines of completed items.
  std::string errors;  ///< Lines of failed items.

  friend bool operator==(const result_lines&, const result_lines&) = default;
};

/// \brief Separates the lines of one committed segment.
///
/// Lines of items whose committed result is in another segment are left out.
/// \param segment  index into the segments of \p record.
result<result_lines> ReadSegment(std::string_view text,
                                 const group_record& record,
                                 std::size_t segment);

/// \brief Makes the error lines of items that ended without a segment: by a
/// takeover or a cancellation.
/// \param custom_ids  the custom ids of the chunk's items, in order.
std::string ErrorLinesWithoutSegment(
    std::string_view job_id,
    std::size_t group,
    const group_record& record,
    const std::vector<std::string>& custom_ids);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_SEGMENT_H_
