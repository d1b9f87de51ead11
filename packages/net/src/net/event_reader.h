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

/// \brief One whole event of a stream.
struct stream_event {
  std::optional<std::int64_t> id;
  std::string data;  ///< Its data lines, joined by line feeds.
  std::string raw;   ///< Its bytes with the blank line that ends it.
  friend bool operator==(const stream_event&, const stream_event&) = default;
};

/// \brief Cuts a stream of server-sent events into whole events.
///
/// A server may break off in the middle of an event; the part that has arrived
/// then stays in the reader and reaches nobody.
class event_reader {
 public:
  /// \param bytes  the next piece of the stream, cut anywhere.
  /// \returns the events that this piece completes.
  std::vector<stream_event> Feed(std::string_view bytes);

  /// \returns whether the closing event of a chat stream was seen.
  bool done() const { return done_; }

  /// \returns whether the stream stands between two events.
  bool at_boundary() const { return pending_.empty(); }

 private:
  std::string pending_;
  bool done_ = false;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_EVENT_READER_H_
