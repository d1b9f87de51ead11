#include "src/base/utf8.h"

#include <algorithm>
#include <boost/json.hpp>

namespace cardamomyard {

bool IsUtf8(std::string_view text) {
  const bool is_ascii = std::all_of(text.begin(), text.end(), [](char c) {
    return static_cast<signed char>(c) >= 0;
  });
  if (is_ascii) {
    return true;
  }
  // The parser checks the encoding, the serializer does not.
  boost::system::error_code code;
  boost::json::parse(boost::json::serialize(boost::json::string(text)), code);
  return !code;
}

}  // namespace cardamomyard
