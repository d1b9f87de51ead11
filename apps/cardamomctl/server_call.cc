#include "cardamomctl/server_call.h"

#include <algorithm>
#include <sstream>

namespace cardamomyard::ctl {
namespace json = boost::json;

server_answer CallServer(invocation& call,
                         const std::string& method,
                         const std::string& target,
                         const std::string& body) {
  const auto answer = call.client->Call(method, target, body);
  if (!answer) {
    *call.err << "cardamomctl: " << answer.error().message();
    if (method != "GET" && answer.error().ran() != outcome::not_run) {
      *call.err << "; the change may have been made";
    }
    *call.err << "\n";
    return unreachable;
  }
  boost::system::error_code code;
  json::value parsed = json::parse(answer->body, code);
  if (answer->status == 200 && !code) {
    return parsed;
  }
  const error refusal = ParseErrorBody(answer->status, answer->body);
  if (call.json && !code) {
    *call.out << answer->body << "\n";
  }
  *call.err << "cardamomctl: " << ToString(refusal.kind()) << ": "
            << refusal.message() << "\n";
  return refused;
}

int CallAndPrint(
    invocation& call,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    const std::function<void(const json::value&, std::ostream&)>& print) {
  const server_answer answer = CallServer(call, method, target, body);
  if (const int* code = std::get_if<int>(&answer)) {
    return *code;
  }
  const json::value& value = std::get<json::value>(answer);
  if (call.json) {
    *call.out << json::serialize(value) << "\n";
  } else {
    print(value, *call.out);
  }
  return ok;
}

namespace {

/// \returns \p value for people: plain decimals, and objects as key=value.
std::string ToText(const json::value& value) {
  if (value.is_string()) {
    return std::string(value.get_string());
  }
  if (value.is_double()) {
    std::ostringstream text;
    text << value.get_double();
    return text.str();
  }
  if (const json::object* object = value.if_object()) {
    std::string text;
    for (const auto& member : *object) {
      text += (text.empty() ? "" : " ") + std::string(member.key()) + "=" +
              ToText(member.value());
    }
    return text;
  }
  return json::serialize(value);
}

}  // namespace

std::string Field(const json::value& from, const char* name) {
  const json::object* object = from.if_object();
  const json::value* value =
      object == nullptr ? nullptr : object->if_contains(name);
  if (value == nullptr || value->is_null()) {
    return "";
  }
  return ToText(*value);
}

void PrintTable(const json::value& list,
                const std::vector<const char*>& fields,
                std::ostream& out) {
  std::vector<std::vector<std::string>> rows;
  rows.emplace_back(fields.begin(), fields.end());
  if (const json::array* items = list.if_array()) {
    for (const json::value& item : *items) {
      auto& row = rows.emplace_back();
      for (const char* field : fields) {
        const std::string text = Field(item, field);
        row.push_back(text.empty() ? "-" : text);
      }
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < fields.size(); ++i) {
      std::size_t width = 0;
      for (const auto& other : rows) {
        width = std::max(width, other[i].size());
      }
      line += row[i] + std::string(width - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

void PrintLines(const json::value& from, const char* name, std::ostream& out) {
  const json::object* object = from.if_object();
  const json::value* lines =
      object == nullptr ? nullptr : object->if_contains(name);
  if (lines != nullptr && lines->is_array()) {
    for (const json::value& line : lines->get_array()) {
      out << (line.is_string() ? std::string(line.get_string())
                               : json::serialize(line))
          << "\n";
    }
  }
}

}  // namespace cardamomyard::ctl
