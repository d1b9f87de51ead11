#ifndef CARDAMOMYARD_GATEWAY_PROTOCOL_H_
#define CARDAMOMYARD_GATEWAY_PROTOCOL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/jobs.h"
#include "cardamomyard/net.h"
#include "cardamomyard/store.h"

namespace cardamomyard {

/// \brief What the gateway needs to know of a caller's request.
struct inbound_request {
  std::string id;
  std::string host;  ///< Host name, without port.
  std::string path;  ///< Target without the query.
  std::optional<std::string> key;
  /// How long the caller will wait.
  std::optional<std::chrono::milliseconds> time_left;
  /// The caller has the events up to this one.
  std::optional<std::int64_t> last_event;
};

/// Reads the results of a batch job.
struct read_job {
  std::string job;
  std::int64_t after = 0;
  std::chrono::milliseconds wait{0};
};
/// Reads the body of one item as it was submitted.
struct read_job_item {
  std::string job;
  std::string item;
};
/// Ends a batch job.
struct cancel_job {
  std::string job;
};
using job_call = std::variant<read_job, read_job_item, cancel_job>;

/// \brief How a request is sent on to a backend server.
struct forward_fields {
  std::string backend;  ///< Only this server may run it.
  std::string account;  ///< Empty for a request without a key.
  std::optional<std::chrono::milliseconds> time_left;
  std::optional<std::int64_t> last_event;
};

/// \brief What the head of a backend server's answer says.
struct backend_response_head {
  int status = 0;
  /// False when the server states that it did not run the request.
  bool executed = true;
  /// The address belongs to another server now.
  bool misdirected = false;
};

/// \brief Translates between the platform's messages and the system's types.
///
/// All functions are pure and may be called from any thread.
class protocol {
 public:
  virtual ~protocol() = default;

  virtual result<inbound_request> ParseInboundRequest(
      const http_request& request) const = 0;
  /// \returns nothing for a request that is not a call about a batch job.
  virtual std::optional<result<job_call>> ParseJobCall(
      const http_request& request) const = 0;
  virtual result<job_input> ParseJobSubmission(
      const std::string& body) const = 0;

  /// \returns the caller's request as a backend server gets it, without the
  /// caller's key and the headers of its connection.
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
  /// \returns whether the answer belongs to that request, or does not say.
  virtual bool IsResponseTo(const header_list& headers,
                            const std::string& request_id) const = 0;
  /// \returns the headers of a server's answer that reach the caller.
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

  /// \brief Kinds of the store that others write, and what they hold.
  virtual std::string configuration_kind() const = 0;
  virtual std::string configuration_name() const = 0;
  virtual std::string backend_kind() const = 0;
  virtual std::string evacuation_kind() const = 0;
  virtual result<service_map> ParseConfiguration(
      const store_record& record) const = 0;
  virtual result<backend_entry> ParseBackend(
      const store_record& record) const = 0;
  /// \returns the status that says a host is being, or has been, evacuated.
  virtual std::string EvacuationStatus(bool completed) const = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_PROTOCOL_H_
