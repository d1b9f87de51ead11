#include "src/net/event_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "cardamomyard/base.h"

namespace cardamomyard {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

bool IsNumber(std::string_view text) {
  return !text.empty() &&
         std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

/// \returns the number of an id; nothing if it is not a plain decimal number.
std::optional<std::int64_t> ReadId(std::string_view text) {
  std::int64_t id = 0;
  const auto [at, problem] =
      std::from_chars(text.data(), text.data() + text.size(), id);
  const bool is_plain =
      IsNumber(text) && (text.size() == 1 || !text.starts_with('0'));
  return is_plain && problem == std::errc() ? std::optional(id) : std::nullopt;
}

/// \returns whether a comment is what remains of the line of an id or of data
/// when its first byte, or the blank line before it, becomes a colon.
bool IsSpoiledField(std::string_view comment) {
  constexpr std::array kRemains{":id:", ":d:", ":data:", ":ata:"};
  return std::ranges::any_of(kRemains, [comment](std::string_view remains) {
    return comment.starts_with(remains);
  });
}

/// Reads the lines of one event.
class event_parser {
 public:
  void ReadLine(std::string_view line) {
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty()) {
      return;
    }
    if (line.find('\r') != std::string_view::npos) {
      // A line end for other readers.
      SetFlaw(event_flaw::stray_line);
    }
    const std::size_t colon = line.find(':');
    if (colon == 0) {
      if (IsSpoiledField(line)) {
        SetFlaw(event_flaw::stray_line);
      }
      return;
    }
    if (colon == std::string_view::npos) {
      SetFlaw(event_flaw::stray_line);
      return;
    }
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    ReadField(line.substr(0, colon), value);
  }

  stream_event Finish(std::string raw) {
    if (!IsUtf8(raw)) {
      event_.flaw = event_flaw::not_utf8;
    }
    if (has_id_ && !has_data_) {
      SetFlaw(event_flaw::missing_data);
    }
    if (has_id_ && ends_stream_ && event_.data != kStreamEnd) {
      SetFlaw(event_flaw::joined);
    }
    event_.raw = std::move(raw);
    return std::move(event_);
  }

 private:
  void ReadField(std::string_view name, std::string_view value) {
    if (name == "data") {
      if (has_data_) {
        event_.data += '\n';
      }
      has_data_ = true;
      event_.data += value;
      ends_stream_ = value == kStreamEnd;
    } else if (name == "id") {
      if (has_id_) {
        SetFlaw(event_flaw::joined);
      }
      has_id_ = true;
      event_.id = ReadId(value);
      if (!event_.id) {
        SetFlaw(event_flaw::bad_id);
      }
    } else if (name == "retry") {
      if (!IsNumber(value)) {
        SetFlaw(event_flaw::stray_line);
      }
    } else if (name != "event") {
      event_.other_fields.push_back({std::string(name), std::string(value)});
    }
  }

  void SetFlaw(event_flaw flaw) {
    if (!event_.flaw) {
      event_.flaw = flaw;
    }
  }

  stream_event event_;
  bool has_id_ = false;
  bool has_data_ = false;
  bool ends_stream_ = false;  ///< Whether the last data line is the end's.
};

stream_event Parse(std::string raw) {
  event_parser parser;
  std::string_view rest(raw);
  while (!rest.empty()) {
    const std::size_t end = rest.find('\n');
    parser.ReadLine(rest.substr(0, end));
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  }
  return parser.Finish(std::move(raw));
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

std::vector<stream_event> event_reader::Feed(std::string_view bytes) {
  std::vector<stream_event> events;
  if (too_large_) {
    return events;
  }
  pending_ += bytes;
  if (!began_ && pending_.starts_with(kByteOrderMark)) {
    pending_.erase(0, kByteOrderMark.size());
  }
  while (const std::size_t length = FirstEventLength(pending_, searched_)) {
    began_ = true;
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
