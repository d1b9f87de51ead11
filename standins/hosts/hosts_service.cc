#include "hosts/hosts_service.h"

#include <boost/json.hpp>

#include "common/json_fields.h"

namespace cardamomyard::standins {
namespace asio = boost::asio;
namespace json = boost::json;

hosts_service::hosts_service(std::chrono::milliseconds lag) : lag_(lag) {
  versions_.push_back({time_point(), R"({"hosts":[]})"});
}

asio::awaitable<void> hosts_service::Handle(http_exchange& exchange) {
  result<std::string> body = co_await exchange.ReadBody(1 << 20);
  http_response answer = MessageResponse(400, "the body is cut");
  if (body) {
    answer = Answer(exchange.request(), *body);
  }
  co_await exchange.Send(std::move(answer));
}

http_response hosts_service::Answer(const http_request& request,
                                    const std::string& body) {
  const request_target target = ParseTarget(request.target);
  const auto& parts = target.segments;
  if (target.path == "/control") {
    const json::object fields = ParseObject(body).value_or(json::object());
    outage_ = GetBool(fields, "outage", outage_);
    lag_ = std::chrono::milliseconds(static_cast<std::int64_t>(
        GetNumber(fields, "lag_ms", static_cast<double>(lag_.count()))));
    return JsonResponse(200, "{}");
  }
  if (outage_) {
    return MessageResponse(503, "the host list is unavailable");
  }
  if (parts.size() < 2 || parts[0] != "v1" || parts[1] != "hosts") {
    return MessageResponse(404, "no such path");
  }
  if (parts.size() == 2 && request.method == "GET") {
    return JsonResponse(200, LaggedList());
  }
  return parts.size() == 3 ? Change(request, parts[2], body)
                           : MessageResponse(405, "method is not supported");
}

http_response hosts_service::Change(const http_request& request,
                                    const std::string& id,
                                    const std::string& body) {
  if (request.method == "DELETE") {
    if (hosts_.erase(id) == 0) {
      return MessageResponse(404, "no such host");
    }
    Record();
    return JsonResponse(200, "{}");
  }
  auto host = ParseObject(body);
  if (request.method != "PUT" || !host) {
    return MessageResponse(400, "PUT with a JSON object expected");
  }
  (*host)["id"] = id;
  if (!host->contains("state")) {
    (*host)["state"] = "live";
  }
  hosts_[id] = json::serialize(*host);
  Record();
  return JsonResponse(200, hosts_[id]);
}

void hosts_service::Record() {
  std::string listed = R"({"hosts":[)";
  for (const auto& [id, host] : hosts_) {
    listed += (listed.back() == '[' ? "" : ",") + host;
  }
  versions_.push_back({clock_.Now(), listed + "]}"});
}

const std::string& hosts_service::LaggedList() {
  const time_point seen = clock_.Now() - lag_;
  while (versions_.size() > 1 && versions_[1].at <= seen) {
    versions_.pop_front();
  }
  return versions_.front().listed;
}

}  // namespace cardamomyard::standins
