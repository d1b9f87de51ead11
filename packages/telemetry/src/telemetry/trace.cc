#include "src/telemetry/trace.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <utility>

namespace cardamomyard {
namespace json = boost::json;
namespace {

constexpr std::size_t kTraceIdBytes = 16;
constexpr std::size_t kSpanIdBytes = 8;
// "00-" + 32 digits + "-" + 16 digits + "-" + 2 digits.
constexpr std::size_t kHeaderSize = 55;
constexpr int kOtlpStatusError = 2;
constexpr int kOtlpKindServer = 2;

bool IsLowerHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

std::string UnixNanos(wall_time time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            time.time_since_epoch())
                            .count());
}

json::object Attribute(std::string_view name, std::string_view value) {
  return {{"key", name}, {"value", {{"stringValue", value}}}};
}

}  // namespace

trace_context trace_context::New() {
  return {RandomHex(kTraceIdBytes), RandomHex(kSpanIdBytes)};
}

std::optional<trace_context> trace_context::Parse(std::string_view header) {
  if (header.size() != kHeaderSize || header.substr(0, 3) != "00-" ||
      header[35] != '-' || header[52] != '-') {
    return std::nullopt;
  }
  const std::string_view trace = header.substr(3, 2 * kTraceIdBytes);
  const std::string_view span = header.substr(36, 2 * kSpanIdBytes);
  if (!IsLowerHex(trace) || !IsLowerHex(span) || IsZero(trace) ||
      IsZero(span)) {
    return std::nullopt;
  }
  return trace_context{std::string(trace), std::string(span)};
}

trace_context trace_context::Child() const {
  return {trace_id, RandomHex(kSpanIdBytes)};
}

std::string trace_context::ToHeader() const {
  return "00-" + trace_id + "-" + span_id + "-01";
}

struct span_writer::output {
  std::ofstream file;
};

span_writer::span_writer(std::unique_ptr<output> out, std::string service)
    : out_(std::move(out)), service_(std::move(service)) {}
span_writer::~span_writer() = default;

result<std::unique_ptr<span_writer>> span_writer::Create(
    const std::string& path,
    std::string service) {
  std::unique_ptr<output> out;
  if (!path.empty()) {
    out = std::make_unique<output>();
    out->file.open(path, std::ios::app);
    if (!out->file) {
      return Fail(error_kind::invalid_request,
                  "cannot write the trace file " + path);
    }
  }
  return std::unique_ptr<span_writer>(
      new span_writer(std::move(out), std::move(service)));
}

void span_writer::Write(const span_record& span) {
  if (out_ == nullptr) {
    return;
  }
  json::array attributes;
  for (const auto& [name, value] : span.attributes) {
    attributes.push_back(Attribute(name, value));
  }
  json::object fields{{"traceId", span.context.trace_id},
                      {"spanId", span.context.span_id},
                      {"parentSpanId", span.parent_span_id},
                      {"name", span.name},
                      {"kind", kOtlpKindServer},
                      {"startTimeUnixNano", UnixNanos(span.start)},
                      {"endTimeUnixNano", UnixNanos(span.end)},
                      {"attributes", std::move(attributes)}};
  if (span.failed) {
    fields["status"] = json::object{{"code", kOtlpStatusError}};
  }
  const json::object line{
      {"resourceSpans",
       json::array{json::object{
           {"resource",
            json::object{{"attributes",
                          json::array{Attribute("service.name", service_)}}}},
           {"scopeSpans", json::array{json::object{
                              {"scope", json::object{{"name", "cardamomyard"}}},
                              {"spans", json::array{std::move(fields)}}}}}}}}};
  const std::string text = json::serialize(line);
  const std::lock_guard lock(mutex_);
  out_->file << text << '\n' << std::flush;
}

}  // namespace cardamomyard
