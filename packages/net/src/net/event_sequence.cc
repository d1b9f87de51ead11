#include "src/net/event_sequence.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cardamomyard {
namespace {

std::string_view Name(event_flaw flaw) {
  switch (flaw) {
    case event_flaw::not_utf8:
      return "not_utf8";
    case event_flaw::stray_line:
      return "stray_line";
    case event_flaw::bad_id:
      return "bad_id";
    case event_flaw::joined:
      return "joined_events";
    case event_flaw::missing_data:
      return "missing_data";
  }
  return "unknown";
}

/// \returns whether the event has an id line, readable or not.
bool IsNumbered(const stream_event& event) {
  return event.id || event.flaw == event_flaw::bad_id ||
         event.flaw == event_flaw::joined ||
         event.flaw == event_flaw::missing_data;
}

event_decision Broken(std::string_view reason) {
  return {event_verdict::broken, reason};
}

}  // namespace

event_sequence event_sequence::After(std::optional<std::int64_t> last,
                                     event_numbering numbering,
                                     field_check is_sound_field) {
  const bool is_numbered = last || numbering == event_numbering::required;
  return {std::max<std::int64_t>(0, last.value_or(0)),
          is_numbered ? mode::numbered : mode::unknown, numbering,
          std::move(is_sound_field)};
}

event_sequence::event_sequence(std::int64_t last,
                               mode known,
                               event_numbering numbering,
                               field_check is_sound_field)
    : last_(last),
      mode_(known),
      numbering_(numbering),
      is_sound_field_(std::move(is_sound_field)) {}

std::optional<std::int64_t> event_sequence::expected_id() const {
  if (last_ == std::numeric_limits<std::int64_t>::max()) {
    return std::nullopt;
  }
  return last_ + 1;
}

event_decision event_sequence::Decide(const stream_event& event) {
  if (mode_ == mode::unnumbered) {
    if (IsNumbered(event)) {
      return Broken("late_id");
    }
    return {event.data.empty() ? event_verdict::pass_over : event_verdict::take,
            ""};
  }
  if (mode_ == mode::unknown && !IsNumbered(event)) {
    return DecideUnknown(event);
  }
  if (holds_) {
    return Broken("missing_id");
  }
  mode_ = mode::numbered;
  return DecideNumbered(event);
}

std::optional<std::string_view> event_sequence::FindFault(
    const stream_event& event) const {
  if (event.flaw) {
    return Name(*event.flaw);
  }
  const bool is_sound = std::ranges::all_of(
      event.other_fields, [this](const stream_field& field) {
        return is_sound_field_(field.name, field.value);
      });
  return is_sound ? std::nullopt : std::optional<std::string_view>("bad_field");
}

event_decision event_sequence::DecideNumbered(const stream_event& event) {
  if (const auto fault = FindFault(event)) {
    return Broken(*fault);
  }
  if (!event.id && event.data.empty()) {
    return {event_verdict::pass_over, ""};
  }
  if (ended_) {
    return Broken("after_end");
  }
  if (!event.id) {
    ended_ = event.data == kStreamEnd;
    return ended_ ? event_decision{event_verdict::pass_over, ""}
                  : Broken("missing_id");
  }
  if (event.id != expected_id()) {
    return Broken("out_of_order");
  }
  last_ = *event.id;
  return {};
}

event_decision event_sequence::DecideUnknown(const stream_event& event) {
  // The first event may be one whose id was lost: its line may have become a
  // comment or a part of the data. A second one without an id shows that the
  // answer has none.
  const bool is_suspect =
      FindFault(event) || event.data.find("id:") != std::string::npos;
  if (event.data.empty()) {
    holds_ |= is_suspect;
    return {holds_ ? event_verdict::hold : event_verdict::pass_over, ""};
  }
  const bool must_wait = is_suspect || numbering_ == event_numbering::expected;
  if (must_wait && !holds_ && event.data != kStreamEnd) {
    holds_ = true;
    return {event_verdict::hold, ""};
  }
  mode_ = mode::unnumbered;
  return {};
}

}  // namespace cardamomyard
