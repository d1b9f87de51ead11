#include "event_reader.h"

namespace cardamomyard::loadgen {

std::vector<std::string> event_reader::Feed(std::string_view piece) {
  constexpr std::string_view kField = "data: ";
  rest_ += piece;
  std::vector<std::string> events;
  std::size_t at = 0;
  for (auto end = rest_.find("\n\n"); end != std::string::npos;
       end = rest_.find("\n\n", at)) {
    const auto data = rest_.find(kField, at);
    if (data != std::string::npos && data < end) {
      const auto start = data + kField.size();
      events.push_back(rest_.substr(start, end - start));
    }
    at = end + 2;
  }
  rest_.erase(0, at);
  return events;
}

}  // namespace cardamomyard::loadgen
