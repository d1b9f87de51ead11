#include "relay/relay_control.h"

#include <boost/json.hpp>

#include "common/json_fields.h"

namespace cardamomyard::standins {
namespace json = boost::json;

boost::asio::awaitable<void> relay_control::Handle(http_exchange& exchange) {
  result<std::string> body = co_await exchange.ReadBody(1 << 16);
  http_response answer = MessageResponse(503, "the relay is not started");
  if (body && relay_ != nullptr) {
    answer = Apply(*body);
  }
  co_await exchange.Send(std::move(answer));
}

http_response relay_control::Apply(const std::string& body) {
  relay* controlled = relay_;
  const json::object fields = ParseObject(body).value_or(json::object());
  if (fields.contains("cut")) {
    const auto cut = ParseRelayCut(GetString(fields, "cut"));
    if (!cut) {
      return MessageResponse(
          400, "cut must be none, both, to_target, to_client or refuse");
    }
    controlled->SetCut(*cut);
  }
  if (fields.contains("delay_ms")) {
    controlled->SetDelay(std::chrono::milliseconds(
        static_cast<std::int64_t>(GetNumber(fields, "delay_ms", 0))));
  }
  json::object answer;
  answer["connections"] = controlled->connections();
  return ObjectResponse(200, answer);
}

}  // namespace cardamomyard::standins
