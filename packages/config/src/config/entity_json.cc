#include "src/config/entity_json.h"

#include <boost/json.hpp>
#include <charconv>
#include <utility>

#include "src/config/fields.h"

namespace cardamomyard {
namespace {

namespace json = boost::json;
using internal::field_map;
using internal::field_value;

/// How decimal numbers are written. Shards use text, since Boost.JSON 1.81 may
/// read a number back with another last bit, which would change the hash.
enum class decimals { number, text };

json::object ToObject(const entity& value, decimals how) {
  json::object object;
  for (const auto& [key, field] : internal::ToFields(value)) {
    json::value& out = object[key];
    if (const auto* flag = std::get_if<bool>(&field)) {
      out = *flag;
    } else if (const auto* whole = std::get_if<std::int64_t>(&field)) {
      out = *whole;
    } else if (const auto* decimal = std::get_if<double>(&field)) {
      if (how == decimals::text) {
        out = internal::FormatDecimal(*decimal);
      } else {
        out = *decimal;
      }
    } else if (const auto* text = std::get_if<std::string>(&field)) {
      out = *text;
    } else if (const auto* list =
                   std::get_if<std::vector<std::string>>(&field)) {
      out = json::array(list->begin(), list->end());
    }
  }
  return object;
}

field_value ToField(std::string_view key,
                    const json::value& value,
                    decimals how) {
  if (value.is_bool()) {
    return value.get_bool();
  }
  if (value.is_int64()) {
    return value.get_int64();
  }
  if (value.is_double()) {
    return value.get_double();
  }
  if (value.is_string()) {
    const json::string& text = value.get_string();
    if (how == decimals::text && internal::IsDecimalKey(key)) {
      double number = 0;
      const char* end = text.data() + text.size();
      const auto parsed = std::from_chars(text.data(), end, number);
      if (parsed.ec == std::errc() && parsed.ptr == end) {
        return number;
      }
    }
    return std::string(text);
  }
  if (value.is_array()) {
    std::vector<std::string> list;
    for (const json::value& item : value.get_array()) {
      if (!item.is_string()) {
        return std::monostate{};
      }
      list.emplace_back(item.get_string());
    }
    return list;
  }
  return std::monostate{};
}

result<entity> FromObject(std::string_view kind,
                          std::string_view name,
                          const json::object& object,
                          decimals how) {
  field_map fields;
  for (const auto& member : object) {
    fields.emplace(std::string(member.key()),
                   ToField(member.key(), member.value(), how));
  }
  auto built = internal::BuildEntity(kind, name, fields);
  if (built) {
    return std::move(*built);
  }
  std::string message =
      std::string(kind) + (name.empty() ? "" : "/") + std::string(name);
  for (const auto& problem : built.error()) {
    message += (&problem == built.error().data() ? ": " : "; ") + problem.key +
               (problem.key.empty() ? "" : ": ") + problem.message;
  }
  return Fail(error_kind::invalid_request, std::move(message));
}

}  // namespace

std::string EntityToJson(const entity& value) {
  return json::serialize(ToObject(value, decimals::number));
}

result<entity> EntityFromJson(std::string_view kind,
                              std::string_view name,
                              std::string_view text) {
  json::error_code code;
  const json::value parsed = json::parse({text.data(), text.size()}, code);
  if (code || !parsed.is_object()) {
    return Fail(error_kind::invalid_request,
                std::string(kind) + ": expected a JSON object" +
                    (code ? ": " + code.message() : ""));
  }
  return FromObject(kind, kind == "balance" ? "" : name, parsed.get_object(),
                    decimals::number);
}

namespace internal {

result<entity> CheckEntity(const entity& value) {
  return FromObject(EntityKind(value), EntityName(value),
                    ToObject(value, decimals::text), decimals::text);
}

std::string EncodeRecords(const std::vector<record_ptr>& records) {
  json::array list;
  list.reserve(records.size());
  for (const record_ptr& record : records) {
    json::object item;
    item["kind"] = std::string(EntityKind(record->value));
    item["name"] = EntityName(record->value);
    if (record->origin.from == entity_origin::source::folder) {
      item["file"] = record->origin.file;
    }
    item["fields"] = ToObject(record->value, decimals::text);
    list.push_back(std::move(item));
  }
  return json::serialize(list);
}

result<std::vector<record_ptr>> DecodeRecords(std::string_view text) {
  const auto fail = [](const std::string& message) {
    return Fail(error_kind::invalid_request, "configuration blob: " + message);
  };
  json::error_code code;
  const json::value parsed = json::parse({text.data(), text.size()}, code);
  if (code || !parsed.is_array()) {
    return fail("expected a JSON array");
  }
  std::vector<record_ptr> records;
  for (const json::value& item : parsed.get_array()) {
    const json::object* object = item.if_object();
    const auto string = [object](std::string_view key) -> const json::string* {
      const json::value* found =
          object == nullptr ? nullptr : object->if_contains(key);
      return found == nullptr ? nullptr : found->if_string();
    };
    const json::string* kind = string("kind");
    const json::string* name = string("name");
    const json::value* fields =
        object == nullptr ? nullptr : object->if_contains("fields");
    if (kind == nullptr || name == nullptr || fields == nullptr ||
        !fields->is_object()) {
      return fail("expected objects with kind, name and fields");
    }
    auto value =
        FromObject({kind->data(), kind->size()}, {name->data(), name->size()},
                   fields->get_object(), decimals::text);
    if (!value) {
      return fail(value.error().message());
    }
    entity_origin origin;
    if (const json::string* file = string("file")) {
      origin = {entity_origin::source::folder, std::string(*file)};
    }
    records.push_back(MakeRecord(std::move(*value), std::move(origin)));
  }
  return records;
}

}  // namespace internal
}  // namespace cardamomyard
