#include "src/node/account_entry.h"

#include <boost/json.hpp>

namespace cardamomyard {
namespace json = boost::json;

std::string account_entry::ToJson() const {
  boost::system::error_code code;
  json::value parsed = json::parse(metadata, code);
  json::object fields{{"job_id", job_id}, {"deployment", deployment}};
  fields["metadata"] = code ? json::value(json::object()) : std::move(parsed);
  return json::serialize(fields);
}

result<account_entry> account_entry::Parse(std::string_view text) {
  boost::system::error_code code;
  const json::value parsed = json::parse({text.data(), text.size()}, code);
  const json::object* fields = code ? nullptr : parsed.if_object();
  const auto member = [fields](const char* name) -> const json::value* {
    return fields == nullptr ? nullptr : fields->if_contains(name);
  };
  const json::value* job = member("job_id");
  const json::value* deployment = member("deployment");
  if (job == nullptr || !job->is_string() || deployment == nullptr ||
      !deployment->is_string()) {
    return Fail(error_kind::internal, "malformed account entry of a batch job");
  }
  account_entry entry;
  entry.job_id = job->get_string().c_str();
  entry.deployment = deployment->get_string().c_str();
  if (const json::value* metadata = member("metadata")) {
    entry.metadata = json::serialize(*metadata);
  }
  return entry;
}

}  // namespace cardamomyard
