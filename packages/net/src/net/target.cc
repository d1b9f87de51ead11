#include "src/net/target.h"

#include <cctype>
#include <utility>

namespace cardamomyard {
namespace {

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(digit));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// \param plus  what a plus sign stands for.
std::string PercentDecode(std::string_view text, char plus) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0 &&
        HexValue(text[i + 2]) >= 0) {
      decoded.push_back(static_cast<char>(HexValue(text[i + 1]) * 16 +
                                          HexValue(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? plus : text[i]);
    }
  }
  return decoded;
}

/// \returns \p segment for a path.
std::string EncodeSegment(std::string_view segment) {
  // Dot segments are removed from a path on the way.
  if (segment == ".") {
    return "%2E";
  }
  return segment == ".." ? "%2E%2E" : PercentEncode(segment);
}

}  // namespace

std::optional<std::string> request_target::Query(
    const std::string& name) const {
  const auto found = query.find(name);
  if (found == query.end()) {
    return std::nullopt;
  }
  return found->second;
}

request_target ParseTarget(std::string_view target) {
  request_target parsed;
  const auto mark = target.find('?');
  const std::string_view path = target.substr(0, mark);
  parsed.path = std::string(path);
  for (std::size_t at = 0; at < path.size();) {
    const auto slash = std::min(path.find('/', at), path.size());
    if (slash > at) {
      parsed.segments.push_back(
          PercentDecode(path.substr(at, slash - at), '+'));
    }
    at = slash + 1;
  }
  if (mark == std::string_view::npos) {
    return parsed;
  }
  const std::string_view query = target.substr(mark + 1);
  for (std::size_t at = 0; at < query.size();) {
    const auto end = std::min(query.find('&', at), query.size());
    const std::string_view pair = query.substr(at, end - at);
    const auto equals = pair.find('=');
    const std::string_view value =
        equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    parsed.query.emplace(PercentDecode(pair.substr(0, equals), ' '),
                         PercentDecode(value, ' '));
    at = end + 1;
  }
  return parsed;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' ||
        c == '~') {
      encoded.push_back(c);
    } else {
      encoded.push_back('%');
      encoded.push_back(kDigits[byte >> 4U]);
      encoded.push_back(kDigits[byte & 15U]);
    }
  }
  return encoded;
}

std::string MakeTarget(const std::vector<std::string_view>& segments,
                       const std::vector<query_parameter>& query) {
  std::string target;
  for (const std::string_view segment : segments) {
    target += "/" + EncodeSegment(segment);
  }
  char separator = '?';
  for (const auto& [name, value] : query) {
    target += std::exchange(separator, '&') + PercentEncode(name) + "=" +
              PercentEncode(value);
  }
  return target;
}

std::string EncodeKeyPath(std::string_view key) {
  std::string path;
  for (std::size_t at = 0; at <= key.size();) {
    const auto slash = std::min(key.find('/', at), key.size());
    if (at > 0) {
      path.push_back('/');
    }
    path += EncodeSegment(key.substr(at, slash - at));
    at = slash + 1;
  }
  return path;
}

}  // namespace cardamomyard
