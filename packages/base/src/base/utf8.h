#ifndef CARDAMOMYARD_BASE_UTF8_H_
#define CARDAMOMYARD_BASE_UTF8_H_

#include <string_view>

namespace cardamomyard {

/// \returns whether \p text is well-formed UTF-8 (RFC 3629).
bool IsUtf8(std::string_view text);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BASE_UTF8_H_
