#include "src/keys/client_key.h"

#include <algorithm>
#include <cctype>

#include "cardamomyard/base.h"

namespace cardamomyard {
namespace {

constexpr std::string_view kPrefix = "cy_";
constexpr std::size_t kSecretBytes = 32;
// A truncated secret of at least this many digits counts as a key as well, so
// that a part of a secret in a log line is redacted.
constexpr std::size_t kMinSecretDigits = 16;

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

bool IsHexDigit(char c) {
  return std::isxdigit(static_cast<unsigned char>(c)) != 0;
}

bool IsAlphanumeric(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0;
}

/// \returns the length of the underscore, plain or percent-encoded, at the
/// start of \p text, or 0.
std::size_t UnderscoreLength(std::string_view text) {
  if (text.starts_with('_')) {
    return 1;
  }
  return text.starts_with("%5F") || text.starts_with("%5f") ? 3 : 0;
}

/// \returns the length of the prefix "cy_" at the start of \p text, or 0. The
/// underscore may be percent-encoded.
std::size_t PrefixLength(std::string_view text) {
  if (!text.starts_with("cy")) {
    return 0;
  }
  const std::size_t underscore_length = UnderscoreLength(text.substr(2));
  return underscore_length == 0 ? 0 : 2 + underscore_length;
}

/// \returns whether \p rest, the text after "cy_", starts with an id and at
/// least kMinSecretDigits digits of a secret.
bool StartsWithIdAndSecret(std::string_view rest) {
  const auto* id_end = std::find_if_not(
      rest.begin(), rest.end(), [](char c) { return IsIdCharacter(c); });
  const auto id_length = static_cast<std::size_t>(id_end - rest.begin());
  const std::size_t underscore_length =
      UnderscoreLength(rest.substr(id_length));
  if (id_length == 0 || underscore_length == 0) {
    return false;
  }
  const std::string_view secret = rest.substr(id_length + underscore_length);
  return secret.size() >= kMinSecretDigits &&
         std::all_of(secret.begin(), secret.begin() + kMinSecretDigits,
                     IsHexDigit);
}

/// \returns the length of the longest run of token characters (letters, digits,
/// "-" and underscores) at the start of \p rest.
std::size_t TokenLength(std::string_view rest) {
  std::size_t length = 0;
  while (length < rest.size()) {
    const std::size_t underscore_length = UnderscoreLength(rest.substr(length));
    if (underscore_length == 0 && !IsAlphanumeric(rest[length]) &&
        rest[length] != '-') {
      break;
    }
    length += std::max<std::size_t>(underscore_length, 1);
  }
  return length;
}

}  // namespace

new_key CreateKey(std::string_view id) {
  new_key key;
  key.id = id;
  key.text = std::string(kPrefix) + key.id + "_" + RandomHex(kSecretBytes);
  key.sha256 = Sha256Hex(key.text);
  return key;
}

bool HasKeyFormat(std::string_view text) {
  if (!text.starts_with(kPrefix)) {
    return false;
  }
  text.remove_prefix(kPrefix.size());
  const std::size_t separator = text.find('_');
  if (separator == std::string_view::npos || separator == 0 || separator > 63) {
    return false;
  }
  const std::string_view id = text.substr(0, separator);
  const std::string_view secret = text.substr(separator + 1);
  return std::all_of(id.begin(), id.end(), IsIdCharacter) &&
         secret.size() == 2 * kSecretBytes &&
         std::all_of(secret.begin(), secret.end(), IsHexDigit);
}

bool ContainsKey(std::string_view text) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    const std::size_t prefix_length = PrefixLength(text.substr(i));
    if (prefix_length != 0 &&
        StartsWithIdAndSecret(text.substr(i + prefix_length))) {
      return true;
    }
  }
  return false;
}

std::string RedactKeys(std::string_view text) {
  std::string redacted;
  redacted.reserve(text.size());
  for (std::size_t i = 0; i < text.size();) {
    const std::size_t prefix_length = PrefixLength(text.substr(i));
    const std::string_view rest = text.substr(i + prefix_length);
    // Inside a word, as in "policy_id", "cy_" starts a key only if an id and a
    // secret follow.
    const bool is_word_start = i == 0 || !IsAlphanumeric(text[i - 1]);
    const std::size_t length = prefix_length == 0 ? 0 : TokenLength(rest);
    if (length != 0 && (is_word_start || StartsWithIdAndSecret(rest))) {
      redacted += "cy_[redacted]";
      i += prefix_length + length;
    } else {
      redacted.push_back(text[i++]);
    }
  }
  return redacted;
}

}  // namespace cardamomyard
