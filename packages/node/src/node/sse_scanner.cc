#include "src/node/sse_scanner.h"

namespace cardamomyard {
namespace {

constexpr std::string_view kData = "data:";
constexpr std::string_view kDone = "[DONE]";

std::string_view TrimLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return line;
}

}  // namespace

std::vector<std::string> sse_scanner::Feed(std::string_view bytes) {
  std::vector<std::string> events;
  pending_ += bytes;
  std::size_t start = 0;
  // One data line per event is what engines of this field send.
  for (auto end = pending_.find('\n', start); end != std::string::npos;
       end = pending_.find('\n', start)) {
    std::string_view line =
        TrimLine(std::string_view(pending_).substr(start, end - start));
    start = end + 1;
    if (line.substr(0, kData.size()) != kData) {
      continue;
    }
    line.remove_prefix(kData.size());
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    if (line == kDone) {
      done_ = true;
    } else {
      events.emplace_back(line);
    }
  }
  pending_.erase(0, start);
  return events;
}

}  // namespace cardamomyard
