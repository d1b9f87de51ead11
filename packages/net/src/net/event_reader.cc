#include "src/net/event_reader.h"

#include <charconv>

namespace cardamomyard {
namespace {

std::string_view WithoutPrefix(std::string_view line, std::string_view name) {
  line.remove_prefix(name.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

stream_event Parse(std::string raw) {
  stream_event event;
  bool has_data = false;
  std::string_view rest(raw);
  while (!rest.empty()) {
    const std::size_t end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with("data:")) {
      if (has_data) {
        event.data += '\n';
      }
      has_data = true;
      event.data += WithoutPrefix(line, "data:");
    } else if (line.starts_with("id:")) {
      const std::string_view text = WithoutPrefix(line, "id:");
      std::int64_t id = 0;
      const auto [at, problem] =
          std::from_chars(text.data(), text.data() + text.size(), id);
      if (problem == std::errc() && at == text.data() + text.size()) {
        event.id = id;
      }
    }
  }
  event.raw = std::move(raw);
  return event;
}

/// \returns the length of the first event with its blank line, or 0.
std::size_t FirstEventLength(std::string_view bytes) {
  const std::size_t plain = bytes.find("\n\n");
  const std::size_t returns = bytes.find("\n\r\n");
  if (plain == std::string_view::npos && returns == std::string_view::npos) {
    return 0;
  }
  return plain < returns ? plain + 2 : returns + 3;
}

}  // namespace

std::vector<stream_event> event_reader::Feed(std::string_view bytes) {
  pending_ += bytes;
  std::vector<stream_event> events;
  while (const std::size_t length = FirstEventLength(pending_)) {
    events.push_back(Parse(pending_.substr(0, length)));
    pending_.erase(0, length);
    done_ = done_ || events.back().data == kStreamEnd;
  }
  return events;
}

}  // namespace cardamomyard
