#ifndef CARDAMOMYARD_STANDINS_COMMON_JSON_FIELDS_H_
#define CARDAMOMYARD_STANDINS_COMMON_JSON_FIELDS_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cardamomyard/net.h"

namespace cardamomyard::standins {

/// \returns the JSON object in \p text, or nothing when it is not one.
std::optional<boost::json::object> ParseObject(std::string_view text);

/// \returns the field, or \p fallback when it is absent or of another type.
std::string GetString(const boost::json::object& object,
                      std::string_view name,
                      std::string_view fallback = "");
double GetNumber(const boost::json::object& object,
                 std::string_view name,
                 double fallback);
bool GetBool(const boost::json::object& object,
             std::string_view name,
             bool fallback);

/// \returns a response with \p object as its body.
http_response ObjectResponse(int status, const boost::json::object& object);
/// \returns {"error":{"message","type"}}, as model engines answer.
http_response MessageResponse(int status, std::string_view message);

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_COMMON_JSON_FIELDS_H_
