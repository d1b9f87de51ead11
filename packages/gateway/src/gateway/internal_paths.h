#ifndef CARDAMOMYARD_GATEWAY_INTERNAL_PATHS_H_
#define CARDAMOMYARD_GATEWAY_INTERNAL_PATHS_H_

namespace cardamomyard {

/// Calls between hosts of the system. Bodies of requests and responses are
/// Thrift compact messages; /metrics is text.
/// Returns an inventory_snapshot: only what is newer than the revisions in the
/// headers, as far as the host still knows what was removed since.
inline constexpr const char* kInventoryPath = "/internal/inventory";
inline constexpr const char* kConfigurationSince = "Configuration-Since";
inline constexpr const char* kBackendsSince = "Backends-Since";
/// Takes a job_page_request and returns a job_page.
inline constexpr const char* kJobPagePath = "/internal/job-page";
/// Takes the id of a batch job, as text, whose record has changed in the store.
inline constexpr const char* kJobChangedPath = "/internal/job-changed";
/// Takes a store_call and returns a store_reply.
inline constexpr const char* kStorePath = "/internal/store";
/// Metrics in the text exposition format.
inline constexpr const char* kMetricsPath = "/metrics";

/// Kind of the store records with which hosts register themselves.
inline constexpr const char* kHostKind = "cardamomyard-host";
/// Kind of the store records in which workers renew their leases.
inline constexpr const char* kLeaseKind = "cardamomyard-lease";

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_INTERNAL_PATHS_H_
