#include <algorithm>
#include <array>
#include <stdexcept>

#include "src/batch/group.h"
#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace {
namespace json = boost::json;

constexpr std::array<std::string_view, 3> kStates{"open", "done", "closed"};

// An item is [state, attempts, crashes, intent, segment or -1, prompt tokens,
// completion tokens] and, for failed items, kind and message. An untouched item
// is 0. The short form keeps 1,000 items in one record.
json::value ItemToJson(const group_item& item) {
  if (item == group_item{}) {
    return 0;
  }
  json::array out{static_cast<int>(item.state),
                  item.attempts,
                  item.crashes,
                  item.intent ? 1 : 0,
                  item.segment ? static_cast<std::int64_t>(*item.segment) : -1,
                  item.tokens.prompt,
                  item.tokens.completion};
  if (item.failure) {
    out.emplace_back(ToString(*item.failure));
    out.emplace_back(item.message);
  }
  return out;
}

group_item ItemFromJson(const json::value& from, std::size_t segments) {
  group_item item;
  if (!from.is_array()) {
    if (from.to_number<int>() != 0) {
      throw std::invalid_argument("unknown item form");
    }
    return item;
  }
  const json::array& fields = from.get_array();
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
    if (static_cast<std::size_t>(segment) >= segments) {
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
  json::array list;
  list.reserve(items.size());
  for (const group_item& item : items) {
    list.push_back(ItemToJson(item));
  }
  return json::serialize(
      json::object{{"state", kStates[static_cast<std::size_t>(state)]},
                   {"holder", holder},
                   {"fence", fence},
                   {"lease_end_ms", internal::ToUnixMs(lease_end)},
                   {"items", std::move(list)},
                   {"segments", json::value_from(segments)},
                   {"nonce", nonce}});
}

result<group_record> group_record::Parse(std::string_view text) {
  group_record out;
  const result<void> read = internal::ParseRecord(
      text, "group record", [&out](const json::object& from) {
        const std::string name = internal::GetString(from, "state");
        const auto* state = std::find(kStates.begin(), kStates.end(), name);
        if (state == kStates.end()) {
          throw std::invalid_argument("unknown group state");
        }
        out.state = static_cast<group_state>(state - kStates.begin());
        out.holder = internal::GetString(from, "holder");
        out.fence = internal::GetUint64(from, "fence");
        out.lease_end = internal::GetWallTime(from, "lease_end_ms");
        out.segments =
            json::value_to<std::vector<std::string>>(from.at("segments"));
        for (const json::value& item : from.at("items").as_array()) {
          out.items.push_back(ItemFromJson(item, out.segments.size()));
        }
        out.nonce = internal::GetString(from, "nonce");
      });
  if (!read) {
    return Fail(read.error());
  }
  return out;
}

}  // namespace cardamomyard
