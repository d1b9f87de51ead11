#ifndef CARDAMOMYARD_NET_ANSWER_READER_H_
#define CARDAMOMYARD_NET_ANSWER_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/net/event_sequence.h"

namespace cardamomyard {

/// \brief Why an answer is broken, for logs.
struct unsound_event {
  std::string reason;                    ///< One of a few fixed words.
  std::optional<std::int64_t> id;        ///< As received, if it is a number.
  std::optional<std::int64_t> expected;  ///< The only id that may follow.
  std::size_t bytes = 0;
  friend bool operator==(const unsound_event&, const unsound_event&) = default;
};

/// \brief What some bytes of an answer hold.
struct answer_part {
  std::vector<stream_event> pieces;      ///< The next pieces, in their order.
  std::string relay;                     ///< The bytes that may be passed on.
  bool progressed = false;               ///< Whether more than comments came.
  std::optional<unsound_event> unsound;  ///< Why the answer ends here, if so.
  friend bool operator==(const answer_part&, const answer_part&) = default;
};

/// \brief Reads the events of one answer and stops at the first unsound one.
///
/// Used wherever a text is put together from the events of servers, so that
/// all readers decide alike.
class answer_reader {
 public:
  /// The arguments are those of event_sequence::After().
  static answer_reader After(std::optional<std::int64_t> last,
                             event_numbering numbering,
                             event_sequence::field_check is_sound_field);

  /// \param bytes  the next bytes, cut anywhere. None may follow those after
  /// which an event was unsound.
  answer_part Feed(std::string_view bytes);
  /// Ends a whole answer. \returns what was held back.
  answer_part Finish();

  bool too_large() const { return events_.too_large(); }
  /// \returns whether the answer stands between two events.
  bool at_boundary() const { return events_.at_boundary(); }

 private:
  explicit answer_reader(event_sequence sequence);
  void Release(answer_part& part);

  event_reader events_;
  event_sequence sequence_;
  std::vector<stream_event> held_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_ANSWER_READER_H_
