#ifndef CARDAMOMYARD_NET_MESSAGE_RULES_H_
#define CARDAMOMYARD_NET_MESSAGE_RULES_H_

#include <cstddef>
#include <string_view>

#include "cardamomyard/base.h"
#include "src/net/http_message.h"

namespace cardamomyard {

/// The longest name or value of a header, in bytes. Beast parses and sends no
/// longer ones.
inline constexpr std::size_t kMaxHeaderFieldBytes = 65'533;

/// \brief Checks text that becomes part of the head of a request, by the
/// grammar of RFC 9110 and RFC 9112. A line break in it would end the head and
/// begin another request.
/// \returns `invalid_request` with what is wrong; the text itself is not
/// repeated.
result<void> CheckMethod(std::string_view method);
result<void> CheckTarget(std::string_view target);
result<void> CheckHeader(std::string_view name, std::string_view value);
/// Checks the method, the target and each header.
result<void> CheckHead(const http_request& request);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_MESSAGE_RULES_H_
