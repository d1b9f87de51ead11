#ifndef CARDAMOMYARD_NODE_SUSPECT_CODEC_H_
#define CARDAMOMYARD_NODE_SUSPECT_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/routing.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \returns the entries in the form of control messages.
std::vector<suspect_message> ToMessages(
    const std::vector<suspect_entry>& entries);

/// \returns the entries of a control message, without those whose state is
/// unknown.
std::vector<suspect_entry> FromMessages(
    const std::vector<suspect_message>& messages);

/// \returns the value of internal_api::kSuspect.
std::string ToHeader(const suspect_entry& entry);
/// \param text  the value of internal_api::kSuspect.
/// \param expiry  the expiry of the entry, which the header does not carry.
/// \returns the entry, or nothing when \p text is malformed.
std::optional<suspect_entry> FromHeader(request_fingerprint fingerprint,
                                        const std::string& text,
                                        wall_time expiry);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SUSPECT_CODEC_H_
