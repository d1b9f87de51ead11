#ifndef CARDAMOMYARD_KEYS_CLIENT_KEY_H_
#define CARDAMOMYARD_KEYS_CLIENT_KEY_H_

#include <string>
#include <string_view>

namespace cardamomyard {

/// \brief A newly created client key. The text is shown once and never stored.
struct new_key {
  std::string id;
  std::string text;    ///< `cy_<id>_<64 hex digits>`
  std::string sha256;  ///< Stored in the configuration.
};

/// \brief Creates a key whose secret is 256 random bits from the operating
/// system.
/// \param id  the name of the key's entity in the configuration.
new_key CreateKey(std::string_view id);

/// \returns whether \p text has the format of a key.
bool HasKeyFormat(std::string_view text);

/// \returns whether a key, or a truncated one, occurs anywhere in \p text. The
/// underscores may be percent-encoded.
bool ContainsKey(std::string_view text);

/// \returns \p text with every `cy_...` token replaced by `cy_[redacted]`.
std::string RedactKeys(std::string_view text);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_KEYS_CLIENT_KEY_H_
