#ifndef CARDAMOMYARD_KEYS_CREDENTIALS_H_
#define CARDAMOMYARD_KEYS_CREDENTIALS_H_

#include <map>
#include <optional>
#include <string>

#include "cardamomyard/base.h"
#include "src/net/http_message.h"

namespace cardamomyard {

/// \brief Reads the bearer token of one request.
/// \param headers  the header fields of the request.
/// \param query  its query parameters, percent-decoded. \sa ParseTarget
/// \returns the token; nothing when the request has no Authorization header;
/// invalid_credentials when the header is duplicated or malformed, or a key
/// came in X-Api-Key or in the query.
result<std::optional<std::string>> ExtractBearerToken(
    const header_list& headers,
    const std::map<std::string, std::string>& query);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_KEYS_CREDENTIALS_H_
