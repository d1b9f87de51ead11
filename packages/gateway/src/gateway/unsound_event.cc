#include "src/gateway/unsound_event.h"

#include <optional>

namespace cardamomyard {
namespace {

std::string ToText(std::optional<std::int64_t> id) {
  return id ? std::to_string(*id) : "none";
}

}  // namespace

error ReportUnsoundEvent(host_runtime& host,
                         const part_log& log,
                         const answer_subject& subject,
                         const unsound_event& event) {
  host.metrics()
      .Counter(
          "cardamomyard_unsound_events_total",
          {{"reader", std::string(subject.reader)}, {"reason", event.reason}})
      .Add();
  log.Warning("A server sent an unsound event.",
              {{"request", subject.request},
               {"backend", subject.backend},
               {"reader", subject.reader},
               {"reason", event.reason},
               {"expected_id", ToText(event.expected)},
               {"id", ToText(event.id)},
               {"bytes", event.bytes}});
  return error::Make(error_kind::backend_failed,
                     "unsound event: " + event.reason);
}

event_sequence::field_check FieldCheck(const host_runtime& host) {
  return
      [&codec = host.codec()](std::string_view name, std::string_view value) {
        return codec.IsSoundEventField(name, value);
      };
}

}  // namespace cardamomyard
