#include "src/config/shards.h"

#include <bitset>
#include <boost/json.hpp>
#include <utility>
#include <vector>

#include "src/config/edit.h"
#include "src/config/entity_json.h"

namespace cardamomyard {
namespace {

namespace json = boost::json;
using shard_mask = std::bitset<kShardCount>;

bool IsHash(std::string_view text) {
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

result<blob_set> EncodeShards(blob_set blobs,
                              const configuration& whole,
                              const shard_mask& wanted) {
  std::array<std::vector<record_ptr>, kShardCount> shards;
  for (const record_ptr& record : whole.records()) {
    if (const std::size_t shard = ShardOf(record->id); wanted[shard]) {
      shards[shard].push_back(record);
    }
  }
  for (std::size_t i = 0; i < kShardCount; ++i) {
    if (!wanted[i]) {
      continue;
    }
    std::string data = internal::EncodeRecords(shards[i]);
    if (data.size() > kMaxShardBytes) {
      return Fail(error_kind::too_large,
                  "configuration shard " + std::to_string(i) + " has " +
                      std::to_string(data.size()) + " bytes, the limit is " +
                      std::to_string(kMaxShardBytes));
    }
    std::string name = Sha256Hex(data);
    blobs[i] = std::make_shared<const config_blob>(
        config_blob{std::move(name), std::move(data)});
  }
  return blobs;
}

/// \returns the shards whose records differ.
shard_mask ChangedShards(const configuration& before,
                         const configuration& after) {
  shard_mask changed;
  auto old = before.records().begin();
  auto now = after.records().begin();
  const auto old_end = before.records().end();
  const auto now_end = after.records().end();
  while (old != old_end || now != now_end) {
    if (now == now_end || (old != old_end && (*old)->id < (*now)->id)) {
      changed.set(ShardOf((*old++)->id));
    } else if (old == old_end || (*now)->id < (*old)->id) {
      changed.set(ShardOf((*now++)->id));
    } else {
      if (*old != *now && **old != **now) {
        changed.set(ShardOf((*now)->id));
      }
      ++old;
      ++now;
    }
  }
  return changed;
}

}  // namespace

std::size_t ShardOf(std::string_view id) {
  return Hash64(id) % kShardCount;
}

result<blob_set> Shard(const configuration& whole) {
  return EncodeShards({}, whole, shard_mask().set());
}

result<blob_set> UpdateShards(const blob_set& previous,
                              const configuration& before,
                              const configuration& after) {
  return EncodeShards(previous, after, ChangedShards(before, after));
}

std::string config_head::ToJson() const {
  json::object object;
  object["generation"] = generation;
  object["nonce"] = nonce;
  object["author"] = author;
  object["time"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                       time.time_since_epoch())
                       .count();
  object["summary"] = summary;
  object["blobs"] = json::array(blobs.begin(), blobs.end());
  return json::serialize(object);
}

result<config_head> config_head::Parse(std::string_view text) {
  const auto fail = [](const std::string& message) {
    return Fail(error_kind::invalid_request, "configuration head: " + message);
  };
  json::error_code code;
  const json::value parsed = json::parse({text.data(), text.size()}, code);
  if (code || !parsed.is_object()) {
    return fail("expected a JSON object");
  }
  const json::object& object = parsed.get_object();
  config_head head;
  for (const auto& [key, out] :
       {std::pair<std::string_view, std::string*>{"nonce", &head.nonce},
        {"author", &head.author},
        {"summary", &head.summary}}) {
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_string()) {
      return fail(std::string(key) + " must be a string");
    }
    *out = std::string(value->get_string());
  }
  const json::value* generation = object.if_contains("generation");
  if (generation != nullptr) {
    head.generation = generation->to_number<std::uint64_t>(code);
  }
  if (generation == nullptr || code || head.generation == 0) {
    return fail("generation must be a whole number above 0");
  }
  const json::value* time = object.if_contains("time");
  if (time == nullptr || !time->is_int64()) {
    return fail("time must be in milliseconds since 1970");
  }
  head.time = wall_time(std::chrono::milliseconds(time->get_int64()));
  const json::value* blobs = object.if_contains("blobs");
  if (blobs == nullptr || !blobs->is_array() ||
      blobs->get_array().size() != kShardCount) {
    return fail("blobs must be a list of 64 hashes");
  }
  for (std::size_t i = 0; i < kShardCount; ++i) {
    const json::string* name = blobs->get_array()[i].if_string();
    if (name == nullptr || !IsHash({name->data(), name->size()})) {
      return fail("blobs must be a list of 64 hashes");
    }
    head.blobs[i] = std::string(*name);
  }
  return head;
}

config_head NextHead(const std::optional<config_head>& current,
                     const blob_set& blobs,
                     std::string author,
                     std::string summary,
                     wall_time now,
                     std::string nonce) {
  config_head next;
  next.generation = (current ? current->generation : 0) + 1;
  next.nonce = std::move(nonce);
  next.author = std::move(author);
  next.time = std::chrono::floor<std::chrono::milliseconds>(now);
  next.summary = std::move(summary);
  for (std::size_t i = 0; i < kShardCount; ++i) {
    next.blobs[i] = blobs[i]->name;
  }
  return next;
}

error LostRace(const config_head& winner) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      winner.time.time_since_epoch())
                      .count();
  return error::Make(error_kind::conflict,
                     "the configuration was changed to generation " +
                         std::to_string(winner.generation) + " by " +
                         winner.author + " at " + std::to_string(ms) +
                         " ms: " + winner.summary + "; reread and apply again");
}

result<configuration> Assemble(const config_head& head, const blob_map& blobs) {
  std::vector<record_ptr> records;
  for (std::size_t i = 0; i < kShardCount; ++i) {
    const auto found = blobs.find(head.blobs[i]);
    if (found == blobs.end()) {
      return Fail(error_kind::not_ready,
                  "configuration blob " + head.blobs[i] + " is missing");
    }
    auto opened = internal::OpenBlob(found->first, found->second);
    if (!opened) {
      return Fail(opened.error());
    }
    if (auto checked = internal::CheckShard(i, *opened); !checked) {
      return Fail(checked.error());
    }
    records.insert(records.end(), opened->begin(), opened->end());
  }
  return internal::MakeChecked(std::move(records));
}

namespace internal {

result<std::vector<record_ptr>> OpenBlob(const std::string& name,
                                         std::string_view data) {
  if (Sha256Hex(data) != name) {
    return Fail(error_kind::invalid_request,
                "configuration blob " + name + " is damaged: its SHA-256 is " +
                    Sha256Hex(data));
  }
  return DecodeRecords(data);
}

result<void> CheckShard(std::size_t shard,
                        const std::vector<record_ptr>& records) {
  for (const record_ptr& record : records) {
    if (ShardOf(record->id) != shard) {
      return Fail(error_kind::invalid_request,
                  record->id + " is in configuration shard " +
                      std::to_string(shard) + " instead of " +
                      std::to_string(ShardOf(record->id)));
    }
  }
  return {};
}

}  // namespace internal
}  // namespace cardamomyard
