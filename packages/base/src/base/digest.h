#ifndef CARDAMOMYARD_BASE_DIGEST_H_
#define CARDAMOMYARD_BASE_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomyard {

/// \returns the SHA-256 of \p data as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view data);

/// \returns HMAC-SHA-256 of \p data under \p key as 64 lower-case hex digits.
std::string HmacSha256Hex(std::string_view key, std::string_view data);

/// \brief Compares two strings in time that depends only on their lengths.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// \returns xxHash64 of \p data; stable over hosts and versions.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/// \returns \p bytes random bytes of the operating system as hex digits.
std::string RandomHex(std::size_t bytes);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BASE_DIGEST_H_
