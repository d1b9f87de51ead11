#include "src/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cstdlib>
#include <vector>

namespace cardamomyard {
namespace {

std::string ToHex(const unsigned char* data, std::size_t size) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kDigits[data[i] >> 4U]);
    text.push_back(kDigits[data[i] & 15U]);
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), size);
}

std::string HmacSha256Hex(std::string_view key, std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       digest.data(), &size);
  return ToHex(digest.data(), size);
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
    // Keys and nonces must never be predictable.
    std::abort();
  }
  return ToHex(buffer.data(), bytes);
}

}  // namespace cardamomyard
