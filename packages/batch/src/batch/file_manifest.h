#ifndef CARDAMOMYARD_BATCH_FILE_MANIFEST_H_
#define CARDAMOMYARD_BATCH_FILE_MANIFEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/result.h"

namespace cardamomyard {

/// \brief Describes an uploaded file; stored create-only as `file/<file id>`.
struct file_manifest {
  std::string account;
  std::uint64_t bytes = 0;  ///< Bytes as uploaded.
  std::uint64_t items = 0;
  std::vector<std::string> chunks;  ///< SHA-256 of each chunk.
  std::vector<std::uint32_t> items_per_chunk;

  /// \returns "file-" and 32 hex digits over the account and the chunk ids.
  std::string Id() const;
  std::string ToJson() const;
  static result<file_manifest> Parse(std::string_view text);
  friend bool operator==(const file_manifest&, const file_manifest&) = default;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_FILE_MANIFEST_H_
