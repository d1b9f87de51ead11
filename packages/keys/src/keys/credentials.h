#ifndef CARDAMOMYARD_KEYS_CREDENTIALS_H_
#define CARDAMOMYARD_KEYS_CREDENTIALS_H_

#include <map>
#include <optional>
#include <string>

#include "cardamomyard/base.h"
#include "src/net/http_message.h"

namespace cardamomyard {

/// \brief Reads the bearer token of a request.
/// \param headers  the header fields of the request.
/// \param query  the percent-decoded query parameters of the request.
/// \sa ParseTarget
/// \returns the token; nothing when the request has no Authorization header;
/// invalid_credentials when the header is duplicated or malformed, or when the
/// request has an X-Api-Key header or a key in its query.
result<std::optional<std::string>> ExtractBearerToken(
    const header_list& headers,
    const std::map<std::string, std::string>& query);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_KEYS_CREDENTIALS_H_
