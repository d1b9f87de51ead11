#ifndef CARDAMOMYARD_NET_EVENT_SEQUENCE_H_
#define CARDAMOMYARD_NET_EVENT_SEQUENCE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "src/net/event_reader.h"

namespace cardamomyard {

/// \brief Whether the events of an answer have ids.
enum class event_numbering {
  required,  ///< Each event with data has one.
  expected,  ///< The answer can be resumed if they have; it may have none.
  optional,
};

/// \brief What to do with an event of an answer.
enum class event_verdict {
  take,       ///< The next piece; held events come before it.
  pass_over,  ///< No piece: comments, and fields without data.
  hold,       ///< Whether it is a piece shows with the next event.
  broken,     ///< The answer is unsound from here; held events are dropped.
};

struct event_decision {
  event_verdict verdict = event_verdict::take;
  /// For a broken answer the reason, one of a few fixed words.
  std::string_view reason;
  friend bool operator==(const event_decision&,
                         const event_decision&) = default;
};

/// \brief Decides for each event of an answer whether it is the next piece.
///
/// A server may hand out wrong bytes in an otherwise sound answer. In an answer
/// whose events have ids the id after n is n + 1, and the first one is 1, or
/// follows the last event of an earlier answer. So a piece that is missing,
/// repeated, joined or split shows before anything wrong is passed on, and
/// another server can go on behind the last sound event. An answer without any
/// id has nothing to check and is taken as it is.
class event_sequence {
 public:
  /// Says whether a field that the standard does not name is sound.
  using field_check =
      std::function<bool(std::string_view name, std::string_view value)>;

  /// \param last  the id of the last event that an earlier answer gave.
  static event_sequence After(std::optional<std::int64_t> last,
                              event_numbering numbering,
                              field_check is_sound_field);

  event_decision Decide(const stream_event& event);

  /// \returns the only id that the next numbered event may have; nothing when
  /// no id is left.
  std::optional<std::int64_t> expected_id() const;

 private:
  enum class mode { unknown, numbered, unnumbered };

  event_sequence(std::int64_t last,
                 mode known,
                 event_numbering numbering,
                 field_check is_sound_field);
  /// \returns why no sound server sends this event, if so.
  std::optional<std::string_view> FindFault(const stream_event& event) const;
  event_decision DecideNumbered(const stream_event& event);
  /// Decides about an event without id before any event had one.
  event_decision DecideUnknown(const stream_event& event);

  std::int64_t last_;
  mode mode_;
  event_numbering numbering_;
  field_check is_sound_field_;
  bool holds_ = false;
  bool ended_ = false;  ///< Whether the closing event was seen.
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_EVENT_SEQUENCE_H_
