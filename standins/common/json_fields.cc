#include "common/json_fields.h"

#include <boost/json.hpp>

namespace cardamomyard::standins {
namespace json = boost::json;

std::optional<json::object> ParseObject(std::string_view text) {
  boost::system::error_code code;
  json::value value = json::parse({text.data(), text.size()}, code);
  if (code || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::string GetString(const json::object& object,
                      std::string_view name,
                      std::string_view fallback) {
  const json::value* field = object.if_contains({name.data(), name.size()});
  if (field == nullptr || !field->is_string()) {
    return std::string(fallback);
  }
  return std::string(field->as_string());
}

double GetNumber(const json::object& object,
                 std::string_view name,
                 double fallback) {
  const json::value* field = object.if_contains({name.data(), name.size()});
  if (field == nullptr || !field->is_number()) {
    return fallback;
  }
  return field->to_number<double>();
}

bool GetBool(const json::object& object, std::string_view name, bool fallback) {
  const json::value* field = object.if_contains({name.data(), name.size()});
  return field != nullptr && field->is_bool() ? field->as_bool() : fallback;
}

http_response ObjectResponse(int status, const json::object& object) {
  return JsonResponse(status, json::serialize(object));
}

http_response MessageResponse(int status, std::string_view message) {
  json::object detail;
  detail["message"] = json::string(message.data(), message.size());
  detail["type"] = status < 500 ? "invalid_request_error" : "server_error";
  json::object body;
  body["error"] = std::move(detail);
  return ObjectResponse(status, body);
}

}  // namespace cardamomyard::standins
