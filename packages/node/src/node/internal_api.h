#ifndef CARDAMOMYARD_NODE_INTERNAL_API_H_
#define CARDAMOMYARD_NODE_INTERNAL_API_H_

#include <string_view>

namespace cardamomyard::internal_api {

// Paths that the processes of the system call on each other.
inline constexpr std::string_view kHeartbeat = "/internal/heartbeat";
inline constexpr std::string_view kDigest = "/internal/digest";
inline constexpr std::string_view kBorrow = "/internal/borrow";
inline constexpr std::string_view kConfigHead = "/internal/config/head";
inline constexpr std::string_view kConfigBlob = "/internal/config/blob/";
inline constexpr std::string_view kStatus = "/internal/status";
inline constexpr std::string_view kShareTable = "/internal/limits/table";

// Headers of a request that an entry host forwards to a sidecar.
inline constexpr std::string_view kAccount = "X-Cardamomyard-Account";
inline constexpr std::string_view kWeight = "X-Cardamomyard-Weight";
inline constexpr std::string_view kRepeatable = "X-Cardamomyard-Repeatable";
inline constexpr std::string_view kDeadlineMs = "X-Cardamomyard-Deadline-Ms";
inline constexpr std::string_view kFingerprint = "X-Cardamomyard-Fingerprint";
inline constexpr std::string_view kIsolated = "X-Cardamomyard-Isolated";
/// Echoed by the sidecar, so that the entry host detects an answer that belongs
/// to another request.
inline constexpr std::string_view kExchangeId = "X-Cardamomyard-Exchange";

/// Marks an error of the sidecar itself, as opposed to a relayed answer of the
/// backend server.
inline constexpr std::string_view kRefusal = "X-Cardamomyard-Refusal";

/// On a refusal: "<round> <state>" of the request's crash suspect entry. The
/// entry host needs it to decide on a retry, and a heartbeat may arrive later
/// than the refusal.
inline constexpr std::string_view kSuspect = "X-Cardamomyard-Suspect";

/// On each answer of a sidecar that drains: its incarnation.
inline constexpr std::string_view kLeaving = "X-Cardamomyard-Leaving";

inline constexpr std::string_view kRequestId = "X-Request-Id";
inline constexpr std::string_view kTraceparent = "traceparent";

}  // namespace cardamomyard::internal_api

#endif  // CARDAMOMYARD_NODE_INTERNAL_API_H_
