#include "src/batch/file_manifest.h"

#include <numeric>
#include <stdexcept>

#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace json = boost::json;

std::string file_manifest::Id() const {
  std::string all;
  for (const std::string& chunk : chunks) {
    all += chunk;
  }
  return "file-" + internal::ShortHash({account, all});
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
  file_manifest out;
  const result<void> read = internal::ParseRecord(
      text, "file manifest", [&out](const json::object& from) {
        out.account = internal::GetString(from, "account");
        out.bytes = internal::GetUint64(from, "bytes");
        out.items = internal::GetUint64(from, "items");
        out.chunks =
            json::value_to<std::vector<std::string>>(from.at("chunks"));
        out.items_per_chunk = json::value_to<std::vector<std::uint32_t>>(
            from.at("items_per_chunk"));
        const std::uint64_t sum =
            std::accumulate(out.items_per_chunk.begin(),
                            out.items_per_chunk.end(), std::uint64_t{0});
        if (out.chunks.size() != out.items_per_chunk.size() ||
            sum != out.items) {
          throw std::invalid_argument("item counts do not match the chunks");
        }
      });
  if (!read) {
    return Fail(read.error());
  }
  return out;
}

}  // namespace cardamomyard
