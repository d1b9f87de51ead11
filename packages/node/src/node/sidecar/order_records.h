#ifndef CARDAMOMYARD_NODE_SIDECAR_ORDER_RECORDS_H_
#define CARDAMOMYARD_NODE_SIDECAR_ORDER_RECORDS_H_

#include <string>
#include <string_view>

#include "cardamomyard/admission.h"

namespace cardamomyard::internal {

/// \returns the content of the object `engine/<backend id>`, with a nonce that
/// distinguishes the writes of two processes.
std::string ToJson(const order_lease& lease);
result<order_lease> ParseOrderLease(std::string_view text);

/// \returns the content of the object `weights/slots`, with a nonce that
/// distinguishes the writes of two processes.
std::string ToJson(const load_slots& slots);
result<load_slots> ParseLoadSlots(std::string_view text);

}  // namespace cardamomyard::internal

#endif  // CARDAMOMYARD_NODE_SIDECAR_ORDER_RECORDS_H_
