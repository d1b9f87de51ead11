#ifndef CARDAMOMYARD_NODE_ENTRY_KEY_LINE_GUARD_H_
#define CARDAMOMYARD_NODE_ENTRY_KEY_LINE_GUARD_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "cardamomyard/keys.h"

namespace cardamomyard {

/// \brief Rejects an upload that contains an API key, even if the key is split
/// between two pieces.
class key_line_guard {
 public:
  /// Must be called with each piece before the piece is stored.
  result<void> Feed(std::string_view piece) {
    partial_line_ += piece;
    if (ContainsKey(partial_line_)) {
      std::string_view remaining = partial_line_;
      std::uint64_t line = line_;
      while (!ContainsKey(remaining.substr(0, remaining.find('\n'))) &&
             remaining.find('\n') != std::string_view::npos) {
        remaining.remove_prefix(remaining.find('\n') + 1);
        ++line;
      }
      return Fail(error_kind::invalid_request,
                  "line " + std::to_string(line) +
                      ": contains a key; a key belongs only into the "
                      "Authorization header");
    }
    const std::size_t end = partial_line_.rfind('\n');
    if (end != std::string::npos) {
      line_ += static_cast<std::uint64_t>(
          std::count(partial_line_.begin(), partial_line_.end(), '\n'));
      partial_line_.erase(0, end + 1);
    }
    return {};
  }

 private:
  std::uint64_t line_ = 1;
  std::string partial_line_;  // Last line, while its end has not arrived.
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_KEY_LINE_GUARD_H_
