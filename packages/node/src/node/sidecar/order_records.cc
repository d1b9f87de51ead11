#include "src/node/sidecar/order_records.h"

#include <boost/json.hpp>
#include <utility>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"

namespace cardamomyard::internal {
namespace json = boost::json;
namespace {

constexpr std::size_t kNonceBytes = 8;

/// Parses \p text and converts it with \p read. Exceptions are caught, since
/// accessors of Boost.JSON throw if a field is missing or has another type.
template <class Read>
auto ReadObject(std::string_view text, std::string_view what, Read read)
    -> result<decltype(read(json::object()))> {
  boost::system::error_code code;
  const json::value parsed = json::parse({text.data(), text.size()}, code);
  std::string reason = "not a JSON object";
  if (!code && parsed.is_object()) {
    try {
      return read(parsed.get_object());
    } catch (const std::exception& failure) {
      reason = failure.what();
    }
  }
  return Fail(error_kind::internal, std::string(what) + ": " + reason);
}

}  // namespace

std::string ToJson(const order_lease& lease) {
  const json::object record{{"holder", lease.holder},
                            {"fence", lease.fencing_token},
                            {"renewal", lease.renewal},
                            {"nonce", RandomHex(kNonceBytes)}};
  return json::serialize(record);
}

result<order_lease> ParseOrderLease(std::string_view text) {
  return ReadObject(text, "engine lease", [](const json::object& record) {
    return order_lease{json::value_to<std::string>(record.at("holder")),
                       record.at("fence").to_number<std::uint64_t>(),
                       record.at("renewal").to_number<std::uint64_t>()};
  });
}

std::string ToJson(const load_slots& slots) {
  json::array listed;
  for (const load_slot& slot : slots.slots()) {
    const auto expiry = std::chrono::duration_cast<std::chrono::milliseconds>(
        slot.expiry.time_since_epoch());
    listed.push_back(json::object{{"holder", slot.holder},
                                  {"expiry_unix_ms", expiry.count()}});
  }
  const json::object record{{"slots", std::move(listed)},
                            {"nonce", RandomHex(kNonceBytes)}};
  return json::serialize(record);
}

result<load_slots> ParseLoadSlots(std::string_view text) {
  return ReadObject(text, "load slots", [](const json::object& record) {
    std::vector<load_slot> slots;
    for (const json::value& entry : record.at("slots").as_array()) {
      const json::object& slot = entry.as_object();
      const std::chrono::milliseconds expiry(
          slot.at("expiry_unix_ms").to_number<std::int64_t>());
      slots.push_back(
          {json::value_to<std::string>(slot.at("holder")), wall_time(expiry)});
    }
    return load_slots(std::move(slots));
  });
}

}  // namespace cardamomyard::internal
