#ifndef CARDAMOMYARD_NODE_SUSPECT_CODEC_H_
#define CARDAMOMYARD_NODE_SUSPECT_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/routing.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \returns the entries as control messages carry them.
std::vector<suspect_message> ToMessages(
    const std::vector<suspect_entry>& entries);

/// \returns the entries of a control message; unknown states are left out.
std::vector<suspect_entry> FromMessages(
    const std::vector<suspect_message>& messages);

/// \returns the value of internal_api::kSuspect.
std::string ToHeader(const suspect_entry& entry);
/// \param expiry  of the entry, which the header doesn't carry.
std::optional<suspect_entry> FromHeader(request_fingerprint print,
                                        const std::string& text,
                                        wall_time expiry);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SUSPECT_CODEC_H_
