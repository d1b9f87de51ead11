#ifndef CARDAMOMYARD_KEYS_FORWARDING_H_
#define CARDAMOMYARD_KEYS_FORWARDING_H_

#include "src/net/http_message.h"

namespace cardamomyard {

/// \brief Selects the header fields that may be forwarded to a backend server:
/// Content-Type, Accept, Idempotency-Key, traceparent and X-Request-Id.
///
/// A field that the Connection header lists is dropped as hop-by-hop, and a key
/// inside a value is redacted (rule 5).
header_list ForwardableHeaders(const header_list& fields);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_KEYS_FORWARDING_H_
