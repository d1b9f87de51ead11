#include "src/net/event_reader.h"

#include <algorithm>
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

// Bytes before the last of "\n\r\n", which may lie in an earlier piece.
constexpr std::size_t kEndOverlap = 2;

/// \returns the length of the first event with its blank line, or 0.
/// \param from  no event ends before this position.
std::size_t FirstEventLength(std::string_view bytes, std::size_t from) {
  for (std::size_t at = bytes.find('\n', from); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    const std::string_view rest = bytes.substr(at + 1);
    if (rest.starts_with('\n')) {
      return at + 2;
    }
    if (rest.starts_with("\r\n")) {
      return at + 3;
    }
  }
  return 0;
}

}  // namespace

bool IsProgress(const stream_event& event) {
  return event.id || !event.data.empty();
}

bool MayResumeStream(const stream_event& event) {
  if (event.id || event.data == kStreamEnd) {
    return true;
  }
  std::string_view rest(event.raw);
  while (!rest.empty()) {
    const std::string_view line = rest.substr(0, rest.find('\n'));
    if (!line.empty() && line != "\r" && !line.starts_with(':')) {
      return false;
    }
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
  }
  return true;
}

std::vector<stream_event> event_reader::Feed(std::string_view bytes) {
  std::vector<stream_event> events;
  if (too_large_) {
    return events;
  }
  pending_ += bytes;
  while (const std::size_t length = FirstEventLength(pending_, searched_)) {
    events.push_back(Parse(pending_.substr(0, length)));
    pending_.erase(0, length);
    searched_ = 0;
    done_ = done_ || events.back().data == kStreamEnd;
  }
  searched_ = pending_.size() - std::min(pending_.size(), kEndOverlap);
  if (pending_.size() > kMaxEventBytes) {
    too_large_ = true;
    pending_ = std::string();
  }
  return events;
}

}  // namespace cardamomyard
