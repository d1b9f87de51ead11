#include "src/batch/file_manifest.h"

#include <numeric>
#include <stdexcept>

#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace json = boost::json;

std::string file_manifest::Id() const {
  std::string chunk_ids;
  for (const std::string& chunk : chunks) {
    chunk_ids += chunk;
  }
  return "file-" + internal::ShortHash({account, chunk_ids});
}

std::string file_manifest::ToJson() const {
  return json::serialize(
      json::object{{"account", account},
                   {"bytes", bytes},
                   {"items", items},
                   {"chunks", json::value_from(chunks)},
                   {"items_per_chunk", json::value_from(items_per_chunk)}});
}

result<file_manifest> file_manifest::Parse(std::string_view text) {
  file_manifest manifest;
  const result<void> read = internal::ParseRecord(
      text, "file manifest", [&manifest](const json::object& object) {
        manifest.account = internal::GetString(object, "account");
        manifest.bytes = internal::GetUint64(object, "bytes");
        manifest.items = internal::GetUint64(object, "items");
        manifest.chunks =
            json::value_to<std::vector<std::string>>(object.at("chunks"));
        manifest.items_per_chunk = json::value_to<std::vector<std::uint32_t>>(
            object.at("items_per_chunk"));
        const std::uint64_t item_count =
            std::accumulate(manifest.items_per_chunk.begin(),
                            manifest.items_per_chunk.end(), std::uint64_t{0});
        if (manifest.chunks.size() != manifest.items_per_chunk.size() ||
            item_count != manifest.items) {
          throw std::invalid_argument("item counts do not match the chunks");
        }
      });
  if (!read) {
    return Fail(read.error());
  }
  return manifest;
}

}  // namespace cardamomyard
