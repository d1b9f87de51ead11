#include "demo/batch_run.h"

#include <boost/json.hpp>
#include <iostream>
#include <utility>

namespace cardamomyard::demo {
namespace json = boost::json;
using harness::JsonRequest;

namespace {

const json::value* Field(const json::value& from, const char* name) {
  return from.is_object() ? from.as_object().if_contains(name) : nullptr;
}

std::string Text(const json::value& from, const char* name) {
  const json::value* field = Field(from, name);
  return field != nullptr && field->is_string()
             ? std::string(field->as_string())
             : "";
}

std::size_t Number(const json::value& from, const char* name) {
  const json::value* field = Field(from, name);
  return field != nullptr && field->is_number()
             ? field->to_number<std::size_t>()
             : 0;
}

json::value ParseAnswer(const http_response& answer, const char* what) {
  boost::system::error_code code;
  json::value body = json::parse(answer.body, code);
  if (answer.status != 200 || code) {
    std::cout << what << ": status " << answer.status << ", " << answer.body
              << "\n";
    return {};
  }
  return body;
}

job_view ToView(const json::value& body) {
  job_view view{Text(body, "id"), Text(body, "status"), 0, 0, 0};
  if (const json::value* counts = Field(body, "request_counts")) {
    view.total = Number(*counts, "total");
    view.completed = Number(*counts, "completed");
    view.failed = Number(*counts, "failed");
  }
  return view;
}

}  // namespace

std::string MakeItems(const std::string& prefix,
                      std::size_t count,
                      std::size_t refuse_every,
                      int max_tokens) {
  std::string lines;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    std::string id = prefix;
    id.append(number.size() < 5 ? 5 - number.size() : 0, '0').append(number);
    const std::string mark = i % refuse_every == 0 ? " REFUSE_ITEM" : "";
    lines.append(R"({"custom_id":")").append(id);
    lines.append(R"(","method":"POST","url":"/v1/chat/completions",)");
    lines.append(R"("body":{"model":"carver-model","messages":[)");
    lines.append(R"({"role":"user","content":"describe drum )");
    lines.append(number).append(mark).append(R"("}],"max_tokens":)");
    lines.append(std::to_string(max_tokens)).append("}}\n");
  }
  return lines;
}

batch_caller::batch_caller(harness::fleet& fleet, std::string key)
    : fleet_(&fleet), key_(std::move(key)) {}

http_response batch_caller::Call(http_request request) {
  const std::size_t entry = next_entry_++ % fleet_->entry_count();
  return fleet_->http().Call(fleet_->entry(entry).address, std::move(request));
}

job_view batch_caller::Submit(const std::string& lines) {
  http_request upload = JsonRequest("POST", "/v1/files", lines, key_);
  upload.headers.Set("Content-Type", "application/jsonl");
  const json::value file = ParseAnswer(Call(std::move(upload)), "upload");
  const json::object fields{{"input_file_id", Text(file, "id")},
                            {"endpoint", "/v1/chat/completions"},
                            {"completion_window", "24h"}};
  return ToView(ParseAnswer(
      Call(JsonRequest("POST", "/v1/batches", json::serialize(fields), key_)),
      "batch job"));
}

job_view batch_caller::Read(const std::string& id) {
  return ToView(ParseAnswer(
      Call(JsonRequest("GET", "/v1/batches/" + id, "", key_)), "batch job"));
}

int batch_caller::Cancel(const std::string& id) {
  return Call(JsonRequest("POST", "/v1/batches/" + id + "/cancel", "", key_))
      .status;
}

std::string batch_caller::Content(const std::string& file_id) {
  const http_response answer =
      Call(JsonRequest("GET", "/v1/files/" + file_id + "/content", "", key_));
  return answer.status == 200 ? answer.body : "";
}

}  // namespace cardamomyard::demo
