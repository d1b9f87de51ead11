#include "src/batch/raw_json.h"

#include <algorithm>

#include "src/batch/json_fields.h"

namespace cardamomyard::internal {
namespace {

constexpr std::string_view kBlanks = " \t\r\n";

std::size_t SkipBlanks(std::string_view text, std::size_t at) {
  return std::min(text.find_first_not_of(kBlanks, at), text.size());
}

// \param at  position of the opening quote.
std::size_t EndOfString(std::string_view text, std::size_t at) {
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    at += text[at] == '\\' ? 1 : 0;
  }
  return std::min(at + 1, text.size());
}

std::size_t EndOfValue(std::string_view text, std::size_t at) {
  std::size_t depth = 0;
  while (at < text.size()) {
    const char c = text[at];
    if (c == '"') {
      at = EndOfString(text, at);
    } else if (c == '{' || c == '[') {
      ++depth;
      ++at;
      continue;
    } else if (c == '}' || c == ']') {
      --depth;
      ++at;
    } else if (depth == 0) {
      // A number or a literal.
      return std::min(text.find_first_of(" \t\r\n,}", at), text.size());
    } else {
      ++at;
      continue;
    }
    if (depth == 0) {
      return at;
    }
  }
  return at;
}

bool IsName(std::string_view quoted, std::string_view name) {
  if (quoted.find('\\') == std::string_view::npos) {
    return quoted.substr(1, quoted.size() - 2) == name;
  }
  const result<boost::json::value> key = ParseJson(quoted);
  return key && key->is_string() &&
         key->get_string() ==
             boost::json::string_view(name.data(), name.size());
}

}  // namespace

std::string_view FindRawMember(std::string_view object, std::string_view name) {
  std::string_view found;
  std::size_t at = SkipBlanks(object, 0) + 1;
  while (true) {
    at = SkipBlanks(object, at);
    if (at < object.size() && object[at] == ',') {
      at = SkipBlanks(object, at + 1);
    }
    if (at >= object.size() || object[at] != '"') {
      return found;
    }
    const std::size_t key_end = EndOfString(object, at);
    const std::string_view key = object.substr(at, key_end - at);
    const std::size_t colon = SkipBlanks(object, key_end);
    const std::size_t value = SkipBlanks(object, colon + 1);
    at = EndOfValue(object, value);
    if (IsName(key, name)) {
      found = object.substr(value, at - value);
    }
  }
}

std::string ReplaceLineBreaks(std::string_view json_text) {
  std::string out(json_text);
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c == '\n' || c == '\r'; },
      ' ');
  return out;
}

}  // namespace cardamomyard::internal
