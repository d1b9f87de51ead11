#ifndef CARDAMOMYARD_BATCH_CHUNK_H_
#define CARDAMOMYARD_BATCH_CHUNK_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/base/result.h"

namespace cardamomyard {

/// \brief One validated line of an uploaded file.
struct batch_item {
  std::string custom_id;
  std::string url;
  std::string body;  ///< Text of the request body, as uploaded.

  friend bool operator==(const batch_item&, const batch_item&) = default;
};

/// \brief Validates one line of an upload.
/// \returns the item, or an `invalid_request` or `too_large` error whose
/// message names the fault but not the line number.
result<batch_item> ParseItem(std::string_view line);

/// \returns the items of a stored chunk, in order.
result<std::vector<batch_item>> ParseChunk(std::string_view text);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_CHUNK_H_
