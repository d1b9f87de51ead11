#ifndef CARDAMOMYARD_KEYS_CLIENT_KEY_H_
#define CARDAMOMYARD_KEYS_CLIENT_KEY_H_

#include <string>
#include <string_view>

namespace cardamomyard {

/// \brief A key at its creation; the text is shown once and never stored.
struct new_key {
  std::string id;
  std::string text;    ///< `cy_<id>_<64 hex digits>`
  std::string sha256;  ///< What the configuration stores.
};

/// \brief Creates a key with 256 random bits of the operating system.
/// \param id  the name of the key's entity.
new_key CreateKey(std::string_view id);

/// \returns whether \p text has the form of a key.
bool HasKeyFormat(std::string_view text);

/// \returns whether a key occurs anywhere in \p text, also with
/// percent-encoded underscores.
bool ContainsKey(std::string_view text);

/// \returns \p text with every `cy_...` token replaced by `cy_[redacted]`.
std::string RedactKeys(std::string_view text);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_KEYS_CLIENT_KEY_H_
