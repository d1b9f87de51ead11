#include "src/keys/credentials.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

#include "src/keys/client_key.h"

namespace cardamomyard {
namespace {

// Exceeds the length of every key and admin token.
constexpr std::size_t kMaxTokenBytes = 512;

/// \returns whether \p text consists of token68 characters of RFC 9110 and has
/// 1 to kMaxTokenBytes bytes.
bool IsToken(std::string_view text) {
  return !text.empty() && text.size() <= kMaxTokenBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 ||
                  std::string_view("-._~+/=").find(static_cast<char>(c)) !=
                      std::string_view::npos;
         });
}

}  // namespace

result<std::optional<std::string>> ExtractBearerToken(
    const header_list& headers,
    const std::map<std::string, std::string>& query) {
  const auto reject = [](const std::string& message) {
    return Fail(error_kind::invalid_credentials,
                message + "; send the key as \"Authorization: Bearer <key>\"");
  };
  if (headers.Count("X-Api-Key") != 0) {
    return reject("X-Api-Key is not accepted");
  }
  constexpr std::array<std::string_view, 3> kKeyParameterNames{"api_key", "key",
                                                               "access_token"};
  for (const auto& parameter : query) {
    const std::string& name = parameter.first;
    const bool is_key_name = std::any_of(
        kKeyParameterNames.begin(), kKeyParameterNames.end(),
        [&name](auto wanted) { return SameHeaderName(name, wanted); });
    // A key under any other parameter name would be forwarded to the backend
    // server.
    if (is_key_name || ContainsKey(parameter.second) || ContainsKey(name)) {
      return reject("a key in the query string is not accepted");
    }
  }
  const std::size_t count = headers.Count("Authorization");
  if (count == 0) {
    return std::optional<std::string>();
  }
  if (count > 1) {
    return reject("expected one Authorization header, got " +
                  std::to_string(count));
  }
  constexpr std::string_view kScheme = "Bearer ";
  const std::string value = *headers.Get("Authorization");
  const auto scheme = std::string_view(value).substr(0, kScheme.size());
  if (!SameHeaderName(scheme, kScheme) ||
      !IsToken(std::string_view(value).substr(scheme.size()))) {
    return reject("the Authorization header is malformed");
  }
  return std::optional<std::string>(value.substr(kScheme.size()));
}

}  // namespace cardamomyard
