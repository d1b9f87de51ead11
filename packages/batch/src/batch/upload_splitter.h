#ifndef CARDAMOMYARD_BATCH_UPLOAD_SPLITTER_H_
#define CARDAMOMYARD_BATCH_UPLOAD_SPLITTER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/base/result.h"
#include "src/batch/file_manifest.h"

namespace cardamomyard {

/// \brief A complete chunk, to be stored as `chunk/<id>`.
struct upload_chunk {
  std::string id;    ///< SHA-256 of \c text.
  std::string text;  ///< Lines, each ending with '\n'.
  std::uint32_t items = 0;

  friend bool operator==(const upload_chunk&, const upload_chunk&) = default;
};

/// \brief The last chunks of an upload and its manifest.
struct finished_upload {
  std::vector<upload_chunk> chunks;
  file_manifest manifest;

  friend bool operator==(const finished_upload&,
                         const finished_upload&) = default;
};

/// \brief Splits an upload into validated chunks while it arrives.
///
/// The chunks do not depend on where the upload is divided into pieces, so the
/// same file always gets the same id. After an error, every further call
/// returns that error.
class upload_splitter {
 public:
  explicit upload_splitter(std::string account);

  /// \returns the chunks that \p piece completes, or an error with the line
  /// number.
  result<std::vector<upload_chunk>> Feed(std::string_view piece);
  /// \brief Ends the upload. The last line may lack its newline.
  result<finished_upload> Finish();

 private:
  result<void> AddLine(std::string_view line,
                       std::vector<upload_chunk>& completed);
  void CloseChunk(std::vector<upload_chunk>& completed);
  tl::unexpected<error> FailAt(std::uint64_t line, const error& cause);

  file_manifest manifest_;
  std::string partial_line_;  // Line whose end has not arrived.
  std::uint64_t line_number_ = 0;
  upload_chunk chunk_;
  std::unordered_map<std::string, std::uint64_t> lines_by_id_;
  tl::expected<void, error> status_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_UPLOAD_SPLITTER_H_
