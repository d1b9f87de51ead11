#include "src/base/base64.h"

#include <openssl/evp.h>

namespace cardamomyard {

std::string Base64Encode(std::string_view bytes) {
  // EVP_EncodeBlock adds a terminating zero.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int written =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(written));
  return text;
}

result<std::string> Base64Decode(std::string_view text) {
  if (text.size() % 4 != 0) {
    return Fail(error_kind::invalid_request,
                "base64 text has a length that is not a multiple of 4");
  }
  std::string bytes(text.size() / 4 * 3, '\0');
  const int written =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (written < 0) {
    return Fail(error_kind::invalid_request, "the text is not base64");
  }
  // EVP_DecodeBlock decodes padding to zero bytes.
  std::size_t padding = 0;
  while (padding < 2 && text.ends_with('=')) {
    text.remove_suffix(1);
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(written) - padding);
  return bytes;
}

}  // namespace cardamomyard
