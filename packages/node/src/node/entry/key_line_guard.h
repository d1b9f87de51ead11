#ifndef CARDAMOMYARD_NODE_ENTRY_KEY_LINE_GUARD_H_
#define CARDAMOMYARD_NODE_ENTRY_KEY_LINE_GUARD_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "cardamomyard/keys.h"

namespace cardamomyard {

/// \brief Refuses an upload that contains a key, also one that is split between
/// two pieces.
class key_line_guard {
 public:
  /// Call it with each piece before the piece is stored.
  result<void> Feed(std::string_view piece) {
    rest_ += piece;
    if (ContainsKey(rest_)) {
      std::string_view left = rest_;
      std::uint64_t line = line_;
      while (!ContainsKey(left.substr(0, left.find('\n'))) &&
             left.find('\n') != std::string_view::npos) {
        left.remove_prefix(left.find('\n') + 1);
        ++line;
      }
      return Fail(error_kind::invalid_request,
                  "line " + std::to_string(line) +
                      ": contains a key; a key belongs only into the "
                      "Authorization header");
    }
    const std::size_t end = rest_.rfind('\n');
    if (end != std::string::npos) {
      line_ += static_cast<std::uint64_t>(
          std::count(rest_.begin(), rest_.end(), '\n'));
      rest_.erase(0, end + 1);
    }
    return {};
  }

 private:
  std::uint64_t line_ = 1;
  std::string rest_;  // Line whose end has not arrived.
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_KEY_LINE_GUARD_H_
