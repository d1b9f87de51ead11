#ifndef CARDAMOMYARD_TELEMETRY_TRACE_H_
#define CARDAMOMYARD_TELEMETRY_TRACE_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Identity of a span, as carried by the W3C `traceparent` header.
struct trace_context {
  std::string trace_id;  ///< 32 hex digits.
  std::string span_id;   ///< 16 hex digits.

  /// \returns a new trace.
  static trace_context New();
  /// \param header  value of `traceparent`; anything malformed gives nothing.
  static std::optional<trace_context> Parse(std::string_view header);
  /// \returns a new span of the same trace.
  trace_context Child() const;
  std::string ToHeader() const;

  friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// \brief One finished span.
struct span_record {
  trace_context context;
  std::string parent_span_id;  ///< Empty for the first span of a trace.
  std::string name;
  wall_time start;
  wall_time end;
  std::map<std::string, std::string> attributes;
  bool failed = false;
};

/// \brief Writes spans as OTLP JSON, one line a span. Safe from any thread.
class span_writer {
 public:
  /// \param path  file to append to; an empty path discards all spans.
  /// \param service  value of the resource attribute service.name.
  static result<std::unique_ptr<span_writer>> Create(const std::string& path,
                                                     std::string service);
  ~span_writer();
  span_writer(const span_writer&) = delete;
  span_writer& operator=(const span_writer&) = delete;

  void Write(const span_record& span);

 private:
  struct output;
  span_writer(std::unique_ptr<output> out, std::string service);

  std::mutex mutex_;
  std::unique_ptr<output> out_;
  std::string service_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_TELEMETRY_TRACE_H_
