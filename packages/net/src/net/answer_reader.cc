#include "src/net/answer_reader.h"

#include <utility>

namespace cardamomyard {

answer_reader answer_reader::After(std::optional<std::int64_t> last,
                                   event_numbering numbering,
                                   event_sequence::field_check is_sound_field) {
  return answer_reader(
      event_sequence::After(last, numbering, std::move(is_sound_field)));
}

answer_reader::answer_reader(event_sequence sequence)
    : sequence_(std::move(sequence)) {}

void answer_reader::Release(answer_part& part) {
  for (stream_event& event : std::exchange(held_, {})) {
    part.relay += event.raw;
    part.pieces.push_back(std::move(event));
  }
}

answer_part answer_reader::Feed(std::string_view bytes) {
  answer_part part;
  for (stream_event& event : events_.Feed(bytes)) {
    const event_decision decision = sequence_.Decide(event);
    if (decision.verdict == event_verdict::broken) {
      held_.clear();
      part.unsound = unsound_event{std::string(decision.reason), event.id,
                                   sequence_.expected_id(), event.raw.size()};
      return part;
    }
    part.progressed |= IsProgress(event);
    if (decision.verdict == event_verdict::hold) {
      held_.push_back(std::move(event));
      continue;
    }
    if (decision.verdict == event_verdict::take) {
      Release(part);
    }
    part.relay += event.raw;
    if (decision.verdict == event_verdict::take) {
      part.pieces.push_back(std::move(event));
    }
  }
  return part;
}

answer_part answer_reader::Finish() {
  answer_part part;
  Release(part);
  return part;
}

}  // namespace cardamomyard
