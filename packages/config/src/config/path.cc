#include "src/config/path.h"

#include <algorithm>
#include <array>
#include <string>

namespace cardamomyard::internal {

bool IsReservedPath(std::string_view path) {
  constexpr std::array<std::string_view, 6> kReserved{
      "/v1", "/admin", "/internal", "/healthz", "/readyz", "/metrics"};
  return std::any_of(kReserved.begin(), kReserved.end(), [path](auto prefix) {
    return path.starts_with(prefix) &&
           (path.size() == prefix.size() || path[prefix.size()] == '/');
  });
}

bool IsRoutePrefix(std::string_view path) {
  if (path == "/") {
    return true;
  }
  return path.size() <= 256 && path.starts_with('/') && !path.ends_with('/') &&
         path.find("//") == std::string_view::npos && !HasDotSegments(path) &&
         std::all_of(path.begin(), path.end(), [](char c) {
           return c > ' ' && c < 127 &&
                  std::string_view("%?#\\\"").find(c) == std::string_view::npos;
         });
}

bool HasDotSegments(std::string_view path) {
  std::string plain;
  for (std::size_t i = 0; i < path.size(); ++i) {
    char c = path[i];
    if (c == '%' && i + 2 < path.size()) {
      const char low = static_cast<char>(path[i + 2] | 0x20);
      if (path[i + 1] == '2' && (low == 'e' || low == 'f')) {
        c = low == 'e' ? '.' : '/';
        i += 2;
      } else if (path[i + 1] == '5' && low == 'c') {
        c = '/';
        i += 2;
      }
    }
    plain.push_back(c == '\\' ? '/' : c);
  }
  plain.push_back('/');
  return plain.find("/./") != std::string::npos ||
         plain.find("/../") != std::string::npos;
}

}  // namespace cardamomyard::internal
