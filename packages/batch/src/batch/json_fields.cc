#include "src/batch/json_fields.h"

#include <algorithm>
#include <exception>

#include "src/base/digest.h"
#include "src/batch/batch_limits.h"

namespace cardamomyard::internal {
namespace json = boost::json;

result<json::value> ParseJson(std::string_view text) {
  json::parse_options options;
  options.max_depth = 128;
  json::error_code failure;
  json::value value =
      json::parse({text.data(), text.size()}, failure, {}, options);
  if (failure) {
    return Fail(error_kind::invalid_request,
                "invalid JSON: " + failure.message());
  }
  return value;
}

result<void> ParseRecord(
    std::string_view text,
    std::string_view record_name,
    const std::function<void(const json::object&)>& read_fields) {
  const result<json::value> value = ParseJson(text);
  if (!value) {
    return Fail(error_kind::internal,
                std::string(record_name) + ": " + value.error().message());
  }
  try {
    read_fields(value->as_object());
  } catch (const std::exception& failure) {
    return Fail(error_kind::internal,
                std::string(record_name) +
                    ": missing or invalid field: " + failure.what());
  }
  return {};
}

std::string GetString(const json::object& object, std::string_view name) {
  return json::value_to<std::string>(object.at({name.data(), name.size()}));
}

std::uint64_t GetUint64(const json::object& object, std::string_view name) {
  return object.at({name.data(), name.size()}).to_number<std::uint64_t>();
}

wall_time GetWallTime(const json::object& object, std::string_view name) {
  return wall_time(std::chrono::milliseconds(
      object.at({name.data(), name.size()}).to_number<std::int64_t>()));
}

std::int64_t ToUnixMs(wall_time time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

std::string ShortHash(std::initializer_list<std::string_view> parts) {
  std::string input;
  for (const std::string_view part : parts) {
    input += std::to_string(part.size()) + ":";
    input += part;
  }
  return Sha256Hex(input).substr(0, 32);
}

std::string ToValidUtf8(std::string_view text) {
  std::string out(text);
  if (!ParseJson(json::serialize(json::string(text)))) {
    std::replace_if(
        out.begin(), out.end(),
        [](char c) { return static_cast<unsigned char>(c) >= 0x80; }, '?');
  }
  return out;
}

std::string SanitizeMessage(std::string_view text) {
  std::size_t size = std::min(text.size(), kMaxMessageBytes);
  // Moves the cut to the start of a UTF-8 sequence.
  while (size > 0 && size < text.size() &&
         (static_cast<unsigned char>(text[size]) & 0xc0) == 0x80) {
    --size;
  }
  std::string out = ToValidUtf8(text.substr(0, size));
  std::replace_if(
      out.begin(), out.end(),
      [](char c) { return static_cast<unsigned char>(c) < 0x20; }, ' ');
  return out;
}

}  // namespace cardamomyard::internal
