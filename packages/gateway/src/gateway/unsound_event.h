#ifndef CARDAMOMYARD_GATEWAY_UNSOUND_EVENT_H_
#define CARDAMOMYARD_GATEWAY_UNSOUND_EVENT_H_

#include <string>
#include <string_view>

#include "cardamomyard/net.h"
#include "cardamomyard/telemetry.h"
#include "src/gateway/host_runtime.h"

namespace cardamomyard {

/// \brief Whose answer is read, for logs.
struct answer_subject {
  std::string_view reader;  ///< "stream" or "item".
  std::string request;
  std::string backend;
};

/// Logs and counts an event that breaks an answer. \returns the cause.
error ReportUnsoundEvent(host_runtime& host,
                         const part_log& log,
                         const answer_subject& subject,
                         const unsound_event& event);

/// \returns the check of the fields that the standard does not name.
event_sequence::field_check FieldCheck(const host_runtime& host);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_UNSOUND_EVENT_H_
