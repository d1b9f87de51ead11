#ifndef CARDAMOMYARD_BASE_BASE64_H_
#define CARDAMOMYARD_BASE_BASE64_H_

#include <string>
#include <string_view>

#include "src/base/result.h"

namespace cardamomyard {

/// \returns \p bytes in base64 with padding and without line breaks.
std::string Base64Encode(std::string_view bytes);

/// \returns the bytes, or `invalid_request` for text that is not base64.
result<std::string> Base64Decode(std::string_view text);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BASE_BASE64_H_
