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
  open_job_entry out;
  const result<void> read = internal::ParseRecord(
      text, "open entry", [&out](const json::object& from) {
        out.job_id = internal::GetString(from, "job");
        out.account = internal::GetString(from, "account");
        out.weight = from.at("weight").to_number<double>();
        out.created = internal::GetWallTime(from, "created_ms");
        out.nonce = internal::GetString(from, "nonce");
      });
  if (!read) {
    return Fail(read.error());
  }
  return out;
}

}  // namespace cardamomyard
