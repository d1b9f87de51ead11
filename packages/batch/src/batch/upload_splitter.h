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

/// \brief A finished chunk, to be stored as `chunk/<id>`.
struct upload_chunk {
  std::string id;    ///< SHA-256 of \c text.
  std::string text;  ///< Lines that each end with '\n'.
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
/// The chunks do not depend on the borders of the pieces, so the same file
/// always gets the same id. After an error the splitter repeats that error.
class upload_splitter {
 public:
  explicit upload_splitter(std::string account);

  /// \returns the chunks that \p piece completes, or an error that names the
  /// line number.
  result<std::vector<upload_chunk>> Feed(std::string_view piece);
  /// \brief Ends the upload; a last line without newline counts.
  result<finished_upload> Finish();

 private:
  result<void> TakeLine(std::string_view line, std::vector<upload_chunk>& out);
  void CloseChunk(std::vector<upload_chunk>& out);
  tl::unexpected<error> FailAt(std::uint64_t line, const error& cause);

  file_manifest manifest_;
  std::string partial_;  // Line whose end has not arrived.
  std::uint64_t line_ = 0;
  upload_chunk chunk_;
  std::unordered_map<std::string, std::uint64_t> lines_by_id_;
  tl::expected<void, error> status_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_UPLOAD_SPLITTER_H_
