#ifndef CARDAMOMYARD_ADMISSION_ADMISSION_EVENT_H_
#define CARDAMOMYARD_ADMISSION_ADMISSION_EVENT_H_

#include <variant>
#include <vector>

#include "src/admission/fair_queue.h"
#include "src/base/error.h"

namespace cardamomyard {

/// The caller sends the request to the engine.
struct start_request {
  request_id id;
  friend bool operator==(const start_request&, const start_request&) = default;
};
/// The caller cancels the batch item on the engine and keeps its resume token.
/// Its slot is already free, so the item is not reported as finished.
struct preempt_batch {
  request_id id;
  friend bool operator==(const preempt_batch&, const preempt_batch&) = default;
};
/// The request is queued; a later event starts or refuses it.
struct request_queued {
  friend bool operator==(const request_queued&,
                         const request_queued&) = default;
};
/// The caller answers the request with an error; it has not run.
struct refuse_request {
  request_id id;
  error cause;
  friend bool operator==(const refuse_request&,
                         const refuse_request&) = default;
};
/// The caller cancels the batch item, then sends the submitted online request.
struct start_and_preempt {
  request_id batch_id;
  friend bool operator==(const start_and_preempt&,
                         const start_and_preempt&) = default;
};

/// \brief Action for a request other than the one just submitted.
using admission_event =
    std::variant<start_request, preempt_batch, refuse_request>;
using admission_events = std::vector<admission_event>;

/// \brief Decision on an online request that was just submitted.
using online_decision = std::
    variant<start_request, start_and_preempt, request_queued, refuse_request>;

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_ADMISSION_EVENT_H_
