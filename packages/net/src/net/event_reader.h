#ifndef CARDAMOMYARD_NET_EVENT_READER_H_
#define CARDAMOMYARD_NET_EVENT_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomyard {

/// Data of the event that closes a chat or completion stream.
inline constexpr std::string_view kStreamEnd = "[DONE]";

/// \brief A field of an event that the standard does not name.
struct stream_field {
  std::string name;
  std::string value;
  friend bool operator==(const stream_field&, const stream_field&) = default;
};

/// \brief What shows in the bytes of an event that no sound server sends.
enum class event_flaw {
  not_utf8,
  stray_line,    ///< A line that is neither a field nor a comment.
  bad_id,        ///< The id is not a plain decimal number.
  joined,        ///< It has two ids, or ends with the closing event.
  missing_data,  ///< It has an id, and no data.
};

/// \brief One whole event of a stream (WHATWG HTML, server-sent events).
struct stream_event {
  std::optional<std::int64_t> id;
  std::string data;  ///< Its data lines, joined by line feeds.
  std::string raw;   ///< Its bytes with the blank line that ends it.
  std::optional<event_flaw> flaw = std::nullopt;  ///< The first one found.
  std::vector<stream_field> other_fields = {};
  friend bool operator==(const stream_event&, const stream_event&) = default;
};

/// \returns whether an event carries more than a comment, which a stalled
/// server may repeat without end.
bool IsProgress(const stream_event& event);

/// \brief Cuts a stream of server-sent events into whole events.
///
/// A server may break off in the middle of an event; the part that has arrived
/// then stays in the reader and reaches nobody.
class event_reader {
 public:
  /// Bounds the memory that a server takes with bytes that never end an event.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  /// \param bytes  the next piece of the stream, cut anywhere.
  /// \returns the events that this piece completes; none after an event has
  /// exceeded kMaxEventBytes.
  std::vector<stream_event> Feed(std::string_view bytes);

  /// \returns whether an event exceeded kMaxEventBytes; the stream is then not
  /// usable any more.
  bool too_large() const { return too_large_; }

  /// \returns whether the closing event of a chat stream was seen.
  bool done() const { return done_; }

  /// \returns whether the stream stands between two events.
  bool at_boundary() const {
    return pending_.find_first_not_of("\r\n") == std::string::npos &&
           !too_large_;
  }

 private:
  std::string pending_;
  /// Bytes of \ref pending_ that contain no end of an event.
  std::size_t searched_ = 0;
  bool began_ = false;  ///< Whether an event has ended.
  bool done_ = false;
  bool too_large_ = false;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_EVENT_READER_H_
