#include "src/keys/forwarding.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "src/keys/client_key.h"

namespace cardamomyard {
namespace {

/// \returns whether a Connection header in \p fields lists \p field_name.
bool IsHopByHop(const header_list& fields, std::string_view field_name) {
  for (const http_header& field : fields.all()) {
    if (!SameHeaderName(field.name, "Connection")) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      std::string_view option = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(option.size() + 1, rest.size()));
      option.remove_prefix(
          std::min(option.find_first_not_of(" \t"), option.size()));
      option = option.substr(0, option.find_last_not_of(" \t") + 1);
      if (SameHeaderName(option, field_name)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

header_list ForwardableHeaders(const header_list& fields) {
  constexpr std::array<std::string_view, 5> kAllowed{
      "Content-Type", "Accept", "Idempotency-Key", "traceparent",
      "X-Request-Id"};
  header_list kept;
  for (const http_header& field : fields.all()) {
    const bool allowed = std::any_of(
        kAllowed.begin(), kAllowed.end(),
        [&field](auto name) { return SameHeaderName(name, field.name); });
    if (allowed && !IsHopByHop(fields, field.name)) {
      kept.Add(field.name, RedactKeys(field.value));
    }
  }
  return kept;
}

}  // namespace cardamomyard
