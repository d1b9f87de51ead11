#include "src/node/entry/batch_format.h"

#include <boost/json.hpp>

namespace cardamomyard {
namespace json = boost::json;
namespace {

constexpr std::size_t kMaxMetadataBytes = 16 * 1024;

std::int64_t UnixSeconds(wall_time time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

result<std::string> StringField(const json::object& fields, const char* name) {
  const json::value* value = fields.if_contains(name);
  if (value == nullptr || !value->is_string() || value->get_string().empty()) {
    return Fail(error_kind::invalid_request,
                "\"" + std::string(name) + "\" must be a non-empty string");
  }
  return std::string(value->get_string().c_str());
}

}  // namespace

result<batch_request> ParseBatchRequest(std::string_view body) {
  boost::system::error_code parse_error;
  const json::value parsed =
      json::parse({body.data(), body.size()}, parse_error);
  const json::object* fields = parse_error ? nullptr : parsed.if_object();
  if (fields == nullptr) {
    return Fail(error_kind::invalid_request, "the body must be a JSON object");
  }
  auto file = StringField(*fields, "input_file_id");
  if (!file) {
    return Fail(file.error());
  }
  auto endpoint = StringField(*fields, "endpoint");
  if (!endpoint) {
    return Fail(endpoint.error());
  }
  batch_request request{std::move(*file), std::move(*endpoint), "{}"};
  if (const json::value* metadata = fields->if_contains("metadata");
      metadata != nullptr && !metadata->is_null()) {
    request.metadata = json::serialize(*metadata);
    if (!metadata->is_object() || request.metadata.size() > kMaxMetadataBytes) {
      return Fail(error_kind::invalid_request,
                  "\"metadata\" must be an object of at most 16 KB");
    }
  }
  return request;
}

std::string DescribeBatch(const job_record& job, std::string_view metadata) {
  json::object fields{{"id", job.id},
                      {"object", "batch"},
                      {"endpoint", job.endpoint},
                      {"input_file_id", job.file_id},
                      {"completion_window", "24h"},
                      {"status", ToString(job.state)},
                      {"created_at", UnixSeconds(job.created)},
                      {"output_file_id", nullptr},
                      {"error_file_id", nullptr}};
  if (job.finished()) {
    fields["output_file_id"] = job.id + "-output";
    fields["error_file_id"] = job.id + "-errors";
  }
  fields["request_counts"] = json::object{{"total", job.items},
                                          {"completed", job.counts.completed},
                                          {"failed", job.counts.failed},
                                          {"cancelled", job.counts.cancelled}};
  boost::system::error_code parse_error;
  json::value parsed =
      json::parse({metadata.data(), metadata.size()}, parse_error);
  fields["metadata"] = std::move(parsed);
  return json::serialize(fields);
}

std::string DescribeBatches(const std::vector<std::string>& jobs,
                            bool has_more) {
  std::string text = R"({"object":"list","data":[)";
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    text += (i == 0 ? "" : ",") + jobs[i];
  }
  text += has_more ? R"(],"has_more":true})" : R"(],"has_more":false})";
  return text;
}

}  // namespace cardamomyard
