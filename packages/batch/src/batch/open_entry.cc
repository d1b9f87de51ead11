#include "src/batch/open_entry.h"

#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace json = boost::json;

std::string open_job_entry::ToJson() const {
  return json::serialize(
      json::object{{"job", job_id},
                   {"account", account},
                   {"weight", weight},
                   {"created_ms", internal::ToUnixMs(created)},
                   {"nonce", nonce}});
}

result<open_job_entry> open_job_entry::Parse(std::string_view text) {
  open_job_entry entry;
  const result<void> read = internal::ParseRecord(
      text, "open job entry", [&entry](const json::object& object) {
        entry.job_id = internal::GetString(object, "job");
        entry.account = internal::GetString(object, "account");
        entry.weight = object.at("weight").to_number<double>();
        entry.created = internal::GetWallTime(object, "created_ms");
        entry.nonce = internal::GetString(object, "nonce");
      });
  if (!read) {
    return Fail(read.error());
  }
  return entry;
}

}  // namespace cardamomyard
