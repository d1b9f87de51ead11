#include "src/batch/chunk.h"

#include <algorithm>
#include <array>

#include "src/batch/batch_limits.h"
#include "src/batch/json_fields.h"
#include "src/batch/raw_json.h"

namespace cardamomyard {
namespace {
namespace json = boost::json;

// Tells whether a batch item may be sent to \p url. Internal and administration
// paths are refused, also when written with dot segments or escapes, and so is
// a query, since it could contain an API key.
bool IsAllowedItemUrl(std::string_view url) {
  if (url == "/v1/chat/completions" || url == "/v1/completions") {
    return true;
  }
  if (url.size() < 2 || url.front() != '/' || url[1] == '/' ||
      url.size() > 1024) {
    return false;
  }
  const bool only_plain_characters =
      std::all_of(url.begin(), url.end(), [](char c) {
        return c > ' ' && c < 0x7f && c != '?' && c != '#' && c != '%' &&
               c != '\\';
      });
  if (!only_plain_characters || url.find("/./") != url.npos ||
      url.find("/..") != url.npos) {
    return false;
  }
  constexpr std::array<std::string_view, 6> kReserved{
      "/v1", "/admin", "/internal", "/healthz", "/readyz", "/metrics"};
  return std::none_of(
      kReserved.begin(), kReserved.end(), [url](std::string_view reserved) {
        return url.starts_with(reserved) &&
               (url.size() == reserved.size() || url[reserved.size()] == '/');
      });
}

}  // namespace

result<batch_item> ParseItem(std::string_view line) {
  if (line.size() > kMaxLineBytes) {
    return Fail(error_kind::too_large, "the line is longer than 256 KB");
  }
  const result<json::value> value = internal::ParseJson(line);
  if (!value) {
    return Fail(value.error());
  }
  const json::object* fields = value->if_object();
  if (fields == nullptr) {
    return Fail(error_kind::invalid_request, "the line is not a JSON object");
  }
  const auto string_field =
      [fields](std::string_view name) -> const json::string* {
    const json::value* field = fields->if_contains({name.data(), name.size()});
    return field == nullptr ? nullptr : field->if_string();
  };
  const json::string* custom_id = string_field("custom_id");
  if (custom_id == nullptr || custom_id->empty()) {
    return Fail(error_kind::invalid_request,
                "\"custom_id\" must be a non-empty string");
  }
  const json::string* method = string_field("method");
  if (method == nullptr || *method != "POST") {
    return Fail(error_kind::invalid_request, "\"method\" must be \"POST\"");
  }
  const json::string* url = string_field("url");
  if (url == nullptr || !IsAllowedItemUrl({url->data(), url->size()})) {
    return Fail(error_kind::invalid_request,
                "\"url\" must be /v1/chat/completions, /v1/completions or the "
                "path of a route");
  }
  const json::value* body = fields->if_contains("body");
  if (body == nullptr || !body->is_object()) {
    return Fail(error_kind::invalid_request, "\"body\" must be an object");
  }
  return batch_item{std::string(custom_id->data(), custom_id->size()),
                    std::string(url->data(), url->size()),
                    std::string(internal::FindRawMember(line, "body"))};
}

result<std::vector<batch_item>> ParseChunk(std::string_view text) {
  std::vector<batch_item> items;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    result<batch_item> item = ParseItem(text.substr(0, end));
    if (!item) {
      return Fail(error_kind::internal, "stored chunk, item " +
                                            std::to_string(items.size()) +
                                            ": " + item.error().message());
    }
    items.push_back(std::move(*item));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return items;
}

}  // namespace cardamomyard
