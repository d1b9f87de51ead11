#include "src/batch/raw_json.h"

#include <algorithm>

#include "src/batch/json_fields.h"

namespace cardamomyard::internal {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

std::size_t SkipWhitespace(std::string_view text, std::size_t position) {
  return std::min(text.find_first_not_of(kWhitespace, position), text.size());
}

// \param position  position of the opening quote.
std::size_t EndOfString(std::string_view text, std::size_t position) {
  for (++position; position < text.size() && text[position] != '"';
       ++position) {
    position += text[position] == '\\' ? 1 : 0;
  }
  return std::min(position + 1, text.size());
}

std::size_t EndOfValue(std::string_view text, std::size_t position) {
  std::size_t depth = 0;
  while (position < text.size()) {
    const char character = text[position];
    if (character == '"') {
      position = EndOfString(text, position);
    } else if (character == '{' || character == '[') {
      ++depth;
      ++position;
      continue;
    } else if (character == '}' || character == ']') {
      --depth;
      ++position;
    } else if (depth == 0) {
      // A number, true, false or null.
      return std::min(text.find_first_of(" \t\r\n,}", position), text.size());
    } else {
      ++position;
      continue;
    }
    if (depth == 0) {
      return position;
    }
  }
  return position;
}

bool KeyEquals(std::string_view quoted_key, std::string_view name) {
  if (quoted_key.find('\\') == std::string_view::npos) {
    return quoted_key.substr(1, quoted_key.size() - 2) == name;
  }
  const result<boost::json::value> parsed_key = ParseJson(quoted_key);
  return parsed_key && parsed_key->is_string() &&
         parsed_key->get_string() ==
             boost::json::string_view(name.data(), name.size());
}

}  // namespace

std::string_view FindRawMember(std::string_view object, std::string_view name) {
  std::string_view member;
  std::size_t position = SkipWhitespace(object, 0) + 1;
  while (true) {
    position = SkipWhitespace(object, position);
    if (position < object.size() && object[position] == ',') {
      position = SkipWhitespace(object, position + 1);
    }
    if (position >= object.size() || object[position] != '"') {
      return member;
    }
    const std::size_t key_end = EndOfString(object, position);
    const std::string_view key = object.substr(position, key_end - position);
    const std::size_t colon = SkipWhitespace(object, key_end);
    const std::size_t value_start = SkipWhitespace(object, colon + 1);
    position = EndOfValue(object, value_start);
    if (KeyEquals(key, name)) {
      member = object.substr(value_start, position - value_start);
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
