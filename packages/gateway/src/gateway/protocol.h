#ifndef CARDAMOMYARD_GATEWAY_PROTOCOL_H_
#define CARDAMOMYARD_GATEWAY_PROTOCOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/jobs.h"
#include "cardamomyard/net.h"
#include "cardamomyard/store.h"

namespace cardamomyard {

/// \brief The parts of a caller's request that the gateway uses.
struct inbound_request {
  std::string id;
  std::string host;  ///< Host name, without port.
  std::string path;  ///< Request target without the query.
  std::optional<std::string> key;
  /// Time until the caller's deadline.
  std::optional<std::chrono::milliseconds> time_left;
  /// Id of the last event that the caller has received.
  std::optional<std::int64_t> last_event;
  /// Ids of the prompt's parts that other requests may share, in their order.
  /// Bounded, since callers choose them.
  static constexpr std::size_t kMaxPromptParts = 16;
  std::vector<std::string> prompt_parts;
};

/// A request for the results of a batch job from position \p after on.
struct read_job {
  std::string job;
  std::int64_t after = 0;
  std::chrono::milliseconds wait{0};
};
/// A request for the body of one item as it was submitted.
struct read_job_item {
  std::string job;
  std::string item;
};
/// A request to cancel a batch job.
struct cancel_job {
  std::string job;
};
using job_call = std::variant<read_job, read_job_item, cancel_job>;

/// \brief Metadata sent with a request that is forwarded to a backend server.
struct forward_fields {
  std::string backend;  ///< Id of the only server that may run it.
  std::string account;  ///< Empty for a request without a key.
  std::optional<std::chrono::milliseconds> time_left;
  std::optional<std::int64_t> last_event;
};

/// \brief The meaning of the head of a backend server's response.
struct backend_response_head {
  int status = 0;
  /// False when the response states that the request was not run.
  bool executed = true;
  /// Whether the address now belongs to another server.
  bool misdirected = false;
  /// Whether the server says that it leaves.
  bool leaving = false;
  /// False when its body is declared as something else than a stream of events.
  bool may_be_stream = true;
  /// False when it is a success without its server's signature. The head of a
  /// sound server always has one.
  bool is_signed = true;
  /// How much longer the server says that it is cold.
  std::chrono::milliseconds cold_remaining{0};
};

/// \brief Translates between the platform's messages and the system's types.
///
/// All functions are pure and may be called from any thread.
class protocol {
 public:
  virtual ~protocol() = default;

  virtual result<inbound_request> ParseInboundRequest(
      const http_request& request) const = 0;
  /// \returns the call about a batch job, or nothing for another request.
  virtual std::optional<result<job_call>> ParseJobCall(
      const http_request& request) const = 0;
  /// \returns the input of the batch job with the id \p job. An id that a call
  /// about the job could not carry is refused.
  virtual result<job_input> ParseJobSubmission(
      const std::string& job,
      const std::string& body) const = 0;

  /// \returns the request to forward to a backend server, without the caller's
  /// key and hop-by-hop headers.
  virtual http_request MakeBackendRequest(
      const http_request& request,
      std::string body,
      const forward_fields& fields) const = 0;
  /// \returns the request that runs a batch item.
  virtual http_request MakeBackendRequest(
      const job_item& item,
      const std::string& host,
      const forward_fields& fields) const = 0;
  virtual backend_response_head ParseResponseHead(
      int status,
      const header_list& headers) const = 0;
  /// \returns whether servers put such a field, which the standard for events
  /// does not name, into the events of a stream.
  virtual bool IsSoundEventField(std::string_view name,
                                 std::string_view value) const = 0;
  /// \returns whether a response with these headers is for \p request_id.
  virtual answer_origin OriginOf(const header_list& headers,
                                 const std::string& request_id) const = 0;
  /// \returns the headers of a server's response that are passed to the caller.
  virtual header_list FilterResponseHeaders(
      const header_list& headers) const = 0;

  virtual http_response MakeErrorResponse(
      const error& cause,
      const std::string& request_id) const = 0;
  virtual http_response MakeJobAcceptedResponse() const = 0;
  virtual http_response MakeJobResultsResponse(
      std::int64_t total,
      std::int64_t next,
      const std::vector<job_item_result>& results) const = 0;
  virtual http_response MakeJobItemResponse(const std::string& body) const = 0;
  virtual http_response MakeJobCancelledResponse() const = 0;

  /// \brief Kinds and names of the store records that other systems write.
  virtual std::string configuration_kind() const = 0;
  virtual std::string configuration_name() const = 0;
  virtual std::string backend_kind() const = 0;
  virtual std::string evacuation_kind() const = 0;
  /// One record for each zone that is to be evacuated, with the zone's name.
  virtual std::string zone_evacuation_kind() const = 0;
  virtual result<service_map> ParseConfiguration(
      const store_record& record) const = 0;
  virtual result<backend_entry> ParseBackend(
      const store_record& record) const = 0;
  /// \returns the status of an evacuation that is running or has completed.
  virtual std::string EvacuationStatus(bool completed) const = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_PROTOCOL_H_
