#include "service/plain_service.h"

#include <boost/json.hpp>
#include <utility>

#include "common/json_fields.h"
#include "common/key_detector.h"

namespace cardamomyard::standins {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

json::object ToJson(const std::map<std::string, std::uint64_t>& counts) {
  json::object object;
  for (const auto& [id, count] : counts) {
    object[id] = count;
  }
  return object;
}

}  // namespace

plain_service::plain_service(plain_service_options options)
    : options_(std::move(options)), random_(options_.seed) {}

asio::awaitable<void> plain_service::Handle(http_exchange& exchange) {
  result<std::string> body = co_await exchange.ReadBody(8 << 20);
  if (!body) {
    exchange.Abort();
    co_return;
  }
  const http_request& request = exchange.request();
  const request_target target = ParseTarget(request.target);
  if (target.path == "/control/stats") {
    http_response stats = Stats();
    co_await exchange.Send(std::move(stats));
    co_return;
  }
  keys_seen_ += CarriesKey(request, *body) ? 1 : 0;
  ++calls_;
  const json::object fields = ParseObject(*body).value_or(json::object());
  const std::string call = GetString(fields, "call_id");
  const std::uint64_t count = call.empty() ? 0 : ++by_call_[call];
  if (const auto id = request.headers.Get("X-Request-Id")) {
    ++by_request_[*id];
  }
  const bool failed =
      std::uniform_real_distribution<>(0, 1)(random_) < options_.fail_rate;
  if (options_.delay.count() > 0) {
    co_await SleepFor(options_.delay);
  }
  http_response answer = MessageResponse(500, "injected failure");
  if (failed) {
    ++failed_;
  } else {
    json::object content;
    content["service"] = options_.name;
    content["path"] = target.path;
    content["call_id"] = call;
    content["count"] = count;
    answer = ObjectResponse(200, content);
  }
  co_await exchange.Send(std::move(answer));
}

http_response plain_service::Stats() const {
  json::object stats;
  stats["calls"] = calls_;
  stats["failed"] = failed_;
  stats["keys_seen"] = keys_seen_;
  stats["by_call"] = ToJson(by_call_);
  stats["by_request"] = ToJson(by_request_);
  return ObjectResponse(200, stats);
}

}  // namespace cardamomyard::standins
