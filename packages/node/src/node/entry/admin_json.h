#ifndef CARDAMOMYARD_NODE_ENTRY_ADMIN_JSON_H_
#define CARDAMOMYARD_NODE_ENTRY_ADMIN_JSON_H_

// Included only by .cc files: the Boost.JSON headers are slow to compile.

#include <boost/json.hpp>
#include <initializer_list>
#include <string>
#include <string_view>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Parses a JSON object and refuses fields that are not \p known.
result<boost::json::object> ParseAdminObject(
    std::string_view text,
    std::initializer_list<std::string_view> known);

/// \returns a field that must be a string.
result<std::string> RequiredText(const boost::json::object& from,
                                 std::string_view name);

/// \returns \p lines as a JSON array of strings.
boost::json::array JsonLines(const std::vector<std::string>& lines);

/// \returns milliseconds since 1970.
std::int64_t UnixMs(wall_time at);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_ADMIN_JSON_H_
