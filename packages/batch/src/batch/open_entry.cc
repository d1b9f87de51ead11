#include "src/batch/open_entry.h"

#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace json = boost::json;

std::string open_entry::ToJson() const {
  return json::serialize(json::object{{"job", job_id},
                                      {"account", account},
                                      {"weight", weight},
                                      {"created_ms", internal::WallMs(created)},
                                      {"nonce", nonce}});
}

result<open_entry> open_entry::Parse(std::string_view text) {
  open_entry out;
  const result<void> read = internal::ReadRecord(
      text, "open entry", [&out](const json::object& from) {
        out.job_id = internal::Text(from, "job");
        out.account = internal::Text(from, "account");
        out.weight = from.at("weight").to_number<double>();
        out.created = internal::WallTime(from, "created_ms");
        out.nonce = internal::Text(from, "nonce");
      });
  if (!read) {
    return Fail(read.error());
  }
  return out;
}

}  // namespace cardamomyard
