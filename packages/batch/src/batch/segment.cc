#include "src/batch/segment.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/batch/batch_limits.h"
#include "src/batch/json_fields.h"
#include "src/batch/raw_json.h"

namespace cardamomyard {
namespace {
namespace json = boost::json;

std::string ToJsonString(std::string_view text) {
  return json::serialize(json::string(internal::ToValidUtf8(text)));
}

std::string ToJsonBody(std::string_view body) {
  return internal::ParseJson(body) ? internal::ReplaceLineBreaks(body)
                                   : ToJsonString(body);
}

result<std::size_t> ParseItemIndex(const json::object& line) {
  const json::value* id = line.if_contains("id");
  const json::string* text = id == nullptr ? nullptr : id->if_string();
  if (text != nullptr) {
    const std::string_view line_id(text->data(), text->size());
    const std::string_view digits = line_id.substr(line_id.rfind('-') + 1);
    std::size_t item = 0;
    const auto [end, parse_error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), item);
    if (parse_error == std::errc() && end == digits.data() + digits.size()) {
      return item;
    }
  }
  return Fail(error_kind::internal, "a result line has no valid id");
}

}  // namespace

std::string FormatResultLine(std::string_view job_id,
                             std::size_t group,
                             const item_answer& answer) {
  const std::string id = std::string(job_id) + "-" + std::to_string(group) +
                         "-" + std::to_string(answer.item);
  std::string line = "{\"id\":" + ToJsonString(id) +
                     ",\"custom_id\":" + ToJsonString(answer.custom_id) +
                     ",\"response\":";
  if (answer.status == 0) {
    line += "null";
  } else {
    line += "{\"status_code\":" + std::to_string(answer.status) +
            ",\"request_id\":" + ToJsonString(answer.request_id) +
            ",\"body\":" + ToJsonBody(answer.body) + "}";
  }
  line += ",\"error\":";
  if (answer.failure) {
    line += json::serialize(
        json::object{{"code", ToString(*answer.failure)},
                     {"message", internal::SanitizeMessage(answer.message)}});
  } else {
    line += "null";
  }
  return line + "}";
}

token_usage ReadUsage(std::string_view body) {
  const result<json::value> value = internal::ParseJson(body);
  const json::object* fields = value ? value->if_object() : nullptr;
  const json::value* usage = fields ? fields->if_contains("usage") : nullptr;
  if (usage == nullptr || !usage->is_object()) {
    return {};
  }
  const auto count_of = [usage](std::string_view name) -> std::uint64_t {
    const json::value* field =
        usage->get_object().if_contains({name.data(), name.size()});
    json::error_code conversion_error;
    const auto count = field ? field->to_number<std::uint64_t>(conversion_error)
                             : std::uint64_t{0};
    return conversion_error ? 0 : count;
  };
  return {count_of("prompt_tokens"), count_of("completion_tokens")};
}

segment_builder::segment_builder(std::string job_id, std::size_t group)
    : job_id_(std::move(job_id)), group_(group) {}

result<bool> segment_builder::Add(const item_answer& answer) {
  const std::string line = FormatResultLine(job_id_, group_, answer);
  if (line.size() + 1 > kMaxSegmentBytes) {
    return Fail(error_kind::too_large,
                "the result of an item is longer than 900 KB");
  }
  if (text_.size() + line.size() + 1 > kMaxSegmentBytes) {
    return false;
  }
  text_ += line;
  text_ += '\n';
  return true;
}

std::string segment_builder::Take() {
  return std::exchange(text_, std::string());
}

result<result_lines> ReadSegment(std::string_view text,
                                 const group_record& record,
                                 std::size_t segment) {
  result_lines lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const result<json::value> value = internal::ParseJson(line);
    if (!value || !value->is_object()) {
      return Fail(error_kind::internal, "a result line is not a JSON object");
    }
    const result<std::size_t> item_index = ParseItemIndex(value->get_object());
    if (!item_index) {
      return Fail(item_index.error());
    }
    if (*item_index >= record.items.size()) {
      return Fail(error_kind::internal,
                  "a result line belongs to no item of the group");
    }
    const group_item& item = record.items[*item_index];
    if (item.segment != segment) {
      continue;
    }
    std::string& file =
        item.state == item_state::completed ? lines.output : lines.errors;
    file += line;
    file += '\n';
  }
  return lines;
}

std::string ErrorLinesWithoutSegment(
    std::string_view job_id,
    std::size_t group,
    const group_record& record,
    const std::vector<std::string>& custom_ids) {
  std::string lines;
  for (std::size_t i = 0; i < record.items.size(); ++i) {
    const group_item& item = record.items[i];
    if (item.state == item_state::pending || item.segment) {
      continue;
    }
    item_answer answer{.item = i,
                       .custom_id = custom_ids.at(i),
                       .request_id = "",
                       .body = "",
                       .failure = item.failure.value_or(error_kind::cancelled),
                       .message = item.message};
    if (item.state == item_state::cancelled) {
      answer.message = "the job was cancelled before the item ended";
    }
    lines += FormatResultLine(job_id, group, answer) + "\n";
  }
  return lines;
}

}  // namespace cardamomyard
