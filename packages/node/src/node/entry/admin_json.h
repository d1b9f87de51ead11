#ifndef CARDAMOMYARD_NODE_ENTRY_ADMIN_JSON_H_
#define CARDAMOMYARD_NODE_ENTRY_ADMIN_JSON_H_

// Include this header only from .cc files, because the Boost.JSON headers are
// slow to compile.

#include <boost/json.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Parses a JSON object and rejects fields that are not in \p known.
result<boost::json::object> ParseAdminObject(
    std::string_view text,
    std::initializer_list<std::string_view> known);

/// \returns the value of a required string field, or `invalid_request`.
result<std::string> RequiredString(const boost::json::object& from,
                                   std::string_view name);

/// \returns \p lines as a JSON array of strings.
boost::json::array ToJsonArray(const std::vector<std::string>& lines);

/// \returns milliseconds since the start of 1970 in UTC, the Unix epoch.
std::int64_t UnixMs(wall_time at);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_ADMIN_JSON_H_
