#ifndef CARDAMOMYARD_TOOLS_LOADGEN_REQUEST_MAKER_H_
#define CARDAMOMYARD_TOOLS_LOADGEN_REQUEST_MAKER_H_

#include <cstdint>

#include "cardamomyard/net.h"
#include "load_profile.h"

namespace cardamomyard::loadgen {

/// \returns request number \p index of a caller. Paths under /v1/ get a
/// completion, others a JSON body with a `call_id`, which is also the
/// `X-Request-Id`.
http_request MakeRequest(const caller_profile& caller,
                         std::uint64_t seed,
                         std::uint64_t index);

}  // namespace cardamomyard::loadgen

#endif  // CARDAMOMYARD_TOOLS_LOADGEN_REQUEST_MAKER_H_
