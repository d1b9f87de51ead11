#include "src/node/host_list_client.h"

#include <boost/json.hpp>
#include <utility>

namespace cardamomyard {
namespace json = boost::json;
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};

std::string TextField(const json::object& fields, const char* name) {
  const json::value* field = fields.if_contains(name);
  return field != nullptr && field->is_string()
             ? std::string(field->as_string())
             : std::string();
}

}  // namespace

boost::asio::awaitable<result<std::vector<listed_host>>> ReadHostList(
    process_context& context) {
  if (!context.settings().host_list) {
    co_return Fail(error_kind::not_found, "no host list is configured");
  }
  http_request request;
  request.target = "/v1/hosts";
  call_options options;
  options.connect_timeout = kTimeout;
  options.head_timeout = kTimeout;
  options.idle_timeout = kTimeout;
  options.reuse_connection = true;
  result<http_response> answer = co_await context.http().Fetch(
      *context.settings().host_list, std::move(request), options);
  if (!answer) {
    co_return Fail(answer.error());
  }
  boost::system::error_code code;
  const json::value body = json::parse(answer->body, code);
  const json::value* hosts = code || !body.is_object()
                                 ? nullptr
                                 : body.as_object().if_contains("hosts");
  if (answer->status != 200 || hosts == nullptr || !hosts->is_array()) {
    co_return Fail(error_kind::internal,
                   "the host list service sent a malformed answer");
  }
  std::vector<listed_host> listed;
  for (const json::value& item : hosts->as_array()) {
    if (!item.is_object()) {
      continue;
    }
    const json::object& fields = item.as_object();
    listed.push_back({TextField(fields, "id"), TextField(fields, "address"),
                      TextField(fields, "zone"), TextField(fields, "role"),
                      TextField(fields, "deployment"),
                      TextField(fields, "state") == "leaving"});
  }
  co_return listed;
}

}  // namespace cardamomyard
