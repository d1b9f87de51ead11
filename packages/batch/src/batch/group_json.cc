#include <algorithm>
#include <array>
#include <stdexcept>

#include "src/batch/group.h"
#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace {
namespace json = boost::json;

constexpr std::array<std::string_view, 3> kStates{"open", "done", "closed"};

// An item is stored as [state, attempts, crashes, intent, segment or -1, prompt
// tokens, completion tokens], followed by error kind and message if it failed,
// or as 0 if nothing has happened to it. In this compact form, 1,000 items fit
// into one record.
json::value ItemToJson(const group_item& item) {
  if (item == group_item{}) {
    return 0;
  }
  json::array fields{
      static_cast<int>(item.state),
      item.attempts,
      item.crashes,
      item.intent ? 1 : 0,
      item.segment ? static_cast<std::int64_t>(*item.segment) : -1,
      item.tokens.prompt,
      item.tokens.completion};
  if (item.failure) {
    fields.emplace_back(ToString(*item.failure));
    fields.emplace_back(item.message);
  }
  return fields;
}

group_item ItemFromJson(const json::value& value, std::size_t segment_count) {
  group_item item;
  if (!value.is_array()) {
    if (value.to_number<int>() != 0) {
      throw std::invalid_argument("unknown item form");
    }
    return item;
  }
  const json::array& fields = value.get_array();
  const int state = fields.at(0).to_number<int>();
  if (state < 0 || state > static_cast<int>(item_state::cancelled)) {
    throw std::invalid_argument("unknown item state");
  }
  item.state = static_cast<item_state>(state);
  item.attempts = fields.at(1).to_number<std::uint32_t>();
  item.crashes = fields.at(2).to_number<std::uint32_t>();
  item.intent = fields.at(3).to_number<int>() != 0;
  const auto segment = fields.at(4).to_number<std::int64_t>();
  if (segment >= 0) {
    if (static_cast<std::size_t>(segment) >= segment_count) {
      throw std::invalid_argument("item refers to an unknown segment");
    }
    item.segment = static_cast<std::uint32_t>(segment);
  }
  item.tokens = {fields.at(5).to_number<std::uint64_t>(),
                 fields.at(6).to_number<std::uint64_t>()};
  if (fields.size() > 7) {
    const json::string& kind = fields.at(7).as_string();
    item.failure = ParseErrorKind({kind.data(), kind.size()});
    if (!item.failure) {
      throw std::invalid_argument("unknown error kind");
    }
    item.message = json::value_to<std::string>(fields.at(8));
  }
  return item;
}

}  // namespace

std::string group_record::ToJson() const {
  json::array item_values;
  item_values.reserve(items.size());
  for (const group_item& item : items) {
    item_values.push_back(ItemToJson(item));
  }
  return json::serialize(
      json::object{{"state", kStates[static_cast<std::size_t>(state)]},
                   {"holder", holder},
                   {"fence", fence},
                   {"lease_end_ms", internal::ToUnixMs(lease_end)},
                   {"items", std::move(item_values)},
                   {"segments", json::value_from(segments)},
                   {"nonce", nonce}});
}

result<group_record> group_record::Parse(std::string_view text) {
  group_record record;
  const result<void> read = internal::ParseRecord(
      text, "group record", [&record](const json::object& object) {
        const std::string name = internal::GetString(object, "state");
        const auto* state = std::find(kStates.begin(), kStates.end(), name);
        if (state == kStates.end()) {
          throw std::invalid_argument("unknown group state");
        }
        record.state = static_cast<group_state>(state - kStates.begin());
        record.holder = internal::GetString(object, "holder");
        record.fence = internal::GetUint64(object, "fence");
        record.lease_end = internal::GetWallTime(object, "lease_end_ms");
        record.segments =
            json::value_to<std::vector<std::string>>(object.at("segments"));
        for (const json::value& item : object.at("items").as_array()) {
          record.items.push_back(ItemFromJson(item, record.segments.size()));
        }
        record.nonce = internal::GetString(object, "nonce");
      });
  if (!read) {
    return Fail(read.error());
  }
  return record;
}

}  // namespace cardamomyard
