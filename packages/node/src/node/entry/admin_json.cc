#include "src/node/entry/admin_json.h"

#include <algorithm>

namespace cardamomyard {
namespace json = boost::json;

result<json::object> ParseAdminObject(
    std::string_view text,
    std::initializer_list<std::string_view> known) {
  boost::system::error_code code;
  json::value parsed = json::parse({text.data(), text.size()}, code);
  if (code || !parsed.is_object()) {
    return Fail(error_kind::invalid_request, "expected a JSON object");
  }
  for (const auto& member : parsed.get_object()) {
    const std::string_view name(member.key().data(), member.key().size());
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      return Fail(error_kind::invalid_request,
                  "unknown field \"" + std::string(name) + "\"");
    }
  }
  return std::move(parsed.get_object());
}

result<std::string> RequiredString(const json::object& from,
                                   std::string_view name) {
  const json::value* value = from.if_contains({name.data(), name.size()});
  if (value == nullptr || !value->is_string()) {
    return Fail(error_kind::invalid_request,
                std::string(name) + ": expected a string");
  }
  return std::string(value->get_string());
}

json::array ToJsonArray(const std::vector<std::string>& lines) {
  return json::array(lines.begin(), lines.end());
}

std::int64_t UnixMs(wall_time at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             at.time_since_epoch())
      .count();
}

}  // namespace cardamomyard
