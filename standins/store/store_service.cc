#include "store/store_service.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <optional>

#include "common/json_fields.h"

namespace cardamomyard::standins {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t kMaxValueBytes = 1 << 20;
/// How often a waiting watch looks for a closed connection.
constexpr std::chrono::milliseconds kWatchTick{250};
constexpr std::chrono::milliseconds kMaxWatch{60'000};

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (code != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> ParseEtag(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  return ParseNumber(text);
}

std::string JoinKey(const std::vector<std::string>& segments) {
  std::string key;
  for (std::size_t i = 2; i < segments.size(); ++i) {
    key += (i > 2 ? "/" : "") + segments[i];
  }
  return key;
}

http_response WithEtag(http_response answer, std::uint64_t version) {
  answer.headers.Set("ETag", "\"" + std::to_string(version) + "\"");
  return answer;
}

}  // namespace

store_service::store_service(store_options options)
    : writes_(options.writes_per_second, clock_.Now()),
      reads_(options.reads_per_second, clock_.Now()) {}

asio::awaitable<void> store_service::Handle(http_exchange& exchange) {
  const http_request& request = exchange.request();
  request_target target = ParseTarget(request.target);
  const auto& parts = target.segments;
  if (!parts.empty() && parts[0] == "control") {
    co_await Control(exchange, target.path);
    co_return;
  }
  const bool objects =
      parts.size() >= 2 && parts[0] == "v1" && parts[1] == "objects";
  const bool watch =
      parts.size() >= 3 && parts[0] == "v1" && parts[1] == "watch";
  if (!objects && !watch) {
    http_response answer = MessageResponse(404, "no such path");
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  const std::string key = JoinKey(parts);
  const std::string& method = request.method;
  const bool write = method == "PUT" || method == "DELETE";
  if (watch) {
    ++calls_["watch"];
  } else if (method == "GET" && key.empty()) {
    ++calls_["list"];
  } else {
    ++calls_[method == "GET" ? "get" : method == "PUT" ? "put" : "delete"];
  }
  if (faults_.outage && faults_.hang && !co_await WaitOutHang(exchange)) {
    exchange.Abort();
    co_return;
  }
  if (faults_.outage) {
    ++calls_["refused_outage"];
    http_response answer = MessageResponse(503, "the store is unavailable");
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  call_budget& budget = write ? writes_ : reads_;
  if (!budget.Take(Now())) {
    ++calls_["refused_budget"];
    http_response answer = MessageResponse(429, "the call budget is used up");
    answer.headers.Set("Retry-After", "1");
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  if (watch) {
    co_await Watch(exchange, std::move(target), key);
    co_return;
  }
  if (write) {
    co_await Write(exchange, key);
    co_return;
  }
  if (faults_.delay.count() > 0) {
    co_await SleepFor(faults_.delay);
  }
  http_response answer = MessageResponse(405, "method is not supported");
  if (method == "GET") {
    answer = key.empty() ? List(target) : Read(key);
  }
  co_await exchange.Send(std::move(answer));
}

asio::awaitable<bool> store_service::WaitOutHang(http_exchange& exchange) {
  while (faults_.outage && faults_.hang) {
    if (exchange.PeerClosed()) {
      co_return false;
    }
    co_await SleepFor(std::chrono::milliseconds(20));
  }
  co_return true;
}

asio::awaitable<void> store_service::Write(http_exchange& exchange,
                                           std::string key) {
  result<std::string> body = co_await exchange.ReadBody(kMaxValueBytes);
  if (!body) {
    http_response answer = MessageResponse(
        body.error().kind() == error_kind::too_large ? 413 : 400,
        body.error().message());
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  // Half of the delay lies before the effect and half after it, so a caller
  // that gives up early cannot know whether the write took effect.
  const auto delay = faults_.delay / 2;
  if (delay.count() > 0) {
    co_await SleepFor(delay);
  }
  http_response answer = Apply(exchange.request(), key, std::move(*body));
  const bool lost =
      std::uniform_real_distribution<>(0, 1)(random_) < faults_.lose_answers;
  if (delay.count() > 0) {
    co_await SleepFor(delay);
  }
  if (lost) {
    ++calls_["lost"];
    exchange.Abort();
    co_return;
  }
  co_await exchange.Send(std::move(answer));
}

http_response store_service::Apply(const http_request& request,
                                   const std::string& key,
                                   std::string body) {
  if (key.empty()) {
    return MessageResponse(400, "the key is empty");
  }
  std::optional<std::uint64_t> expected;
  if (const auto match = request.headers.Get("If-Match")) {
    expected = ParseEtag(*match);
    if (!expected) {
      return MessageResponse(400, "If-Match is not a version");
    }
    if (*expected == 0) {
      // Version 0 never matches, since If-Match asks for an existing object.
      return WithEtag(MessageResponse(412, "the version differs"),
                      objects_.VersionOf(key));
    }
  } else if (request.headers.Get("If-None-Match") == "*") {
    expected = 0;
  }
  if (request.method == "DELETE") {
    const std::uint64_t current = objects_.VersionOf(key);
    if (!objects_.Delete(key, expected)) {
      return current == 0 && !expected
                 ? MessageResponse(404, "no such object")
                 : WithEtag(MessageResponse(412, "the version differs"),
                            current);
    }
    Wake(key);
    return JsonResponse(200, "{}");
  }
  const auto version = objects_.Put(key, std::move(body), expected);
  if (!version) {
    ++calls_["conflicts"];
    return WithEtag(MessageResponse(412, "the version differs"),
                    objects_.VersionOf(key));
  }
  Wake(key);
  return WithEtag(JsonResponse(200, "{}"), *version);
}

http_response store_service::Read(const std::string& key) {
  const stored_object* object = objects_.Get(key);
  if (object == nullptr) {
    return MessageResponse(404, "no such object");
  }
  http_response answer;
  answer.headers.Set("Content-Type", "application/octet-stream");
  answer.body = object->value;
  return WithEtag(std::move(answer), object->version);
}

http_response store_service::List(const request_target& target) {
  constexpr std::size_t kMaxPage = 1000;
  const auto limit = ParseNumber(target.Query("limit").value_or("1000"));
  const auto [page, more] = objects_.List(
      target.Query("prefix").value_or(""),
      target.Query("start_after").value_or(""),
      std::clamp<std::size_t>(limit.value_or(kMaxPage), 1, kMaxPage));
  json::array listed;
  for (const auto& [key, version] : page) {
    json::object entry;
    entry["key"] = key;
    entry["version"] = version;
    listed.push_back(std::move(entry));
  }
  json::object body;
  body["objects"] = std::move(listed);
  body["more"] = more;
  return ObjectResponse(200, body);
}

asio::awaitable<void> store_service::Watch(http_exchange& exchange,
                                           request_target target,
                                           std::string key) {
  const auto after = ParseNumber(target.Query("after").value_or("0"));
  const auto wait = ParseNumber(target.Query("timeout_ms").value_or("30000"));
  const time_point end =
      Now() +
      std::min(kMaxWatch, std::chrono::milliseconds(wait.value_or(30'000)));
  asio::steady_timer timer(co_await asio::this_coro::executor);
  bool closed = false;
  time_point charged = Now();
  {
    const auto entry = watches_.emplace(key, &timer);
    while (objects_.VersionOf(key) == after.value_or(0) && !faults_.outage &&
           !closed && Now() < end) {
      timer.expires_after(std::min<duration>(kWatchTick, end - Now()));
      boost::system::error_code ignored;
      co_await timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
      const time_point now = Now();
      reads_.Charge(std::chrono::duration<double>(now - charged).count(), now);
      charged = now;
      closed = exchange.PeerClosed();
    }
    watches_.erase(entry);
  }
  if (closed) {
    exchange.Abort();
    co_return;
  }
  if (faults_.outage && faults_.hang && !co_await WaitOutHang(exchange)) {
    exchange.Abort();
    co_return;
  }
  http_response answer;
  answer.status = 204;
  if (faults_.outage) {
    answer = MessageResponse(503, "the store is unavailable");
  } else if (objects_.VersionOf(key) != after.value_or(0)) {
    answer = Read(key);
  }
  co_await exchange.Send(std::move(answer));
}

void store_service::Wake(const std::string& key) {
  const auto [first, last] = watches_.equal_range(key);
  std::for_each(first, last, [](const auto& entry) { entry.second->cancel(); });
}

void store_service::WakeAll() {
  for (const auto& [key, timer] : watches_) {
    timer->cancel();
  }
}

void store_service::ApplyControl(const std::string& body) {
  const json::object settings = ParseObject(body).value_or(json::object());
  faults_.outage = GetBool(settings, "outage", faults_.outage);
  faults_.hang = GetBool(settings, "hang", faults_.outage && faults_.hang);
  faults_.delay = std::chrono::milliseconds(static_cast<std::int64_t>(GetNumber(
      settings, "delay_ms", static_cast<double>(faults_.delay.count()))));
  faults_.lose_answers =
      GetNumber(settings, "lose_answers", faults_.lose_answers);
  if (settings.contains("seed")) {
    random_.seed(static_cast<std::uint64_t>(GetNumber(settings, "seed", 1)));
  }
  WakeAll();
}

asio::awaitable<void> store_service::Control(http_exchange& exchange,
                                             std::string path) {
  result<std::string> body = co_await exchange.ReadBody(kMaxValueBytes);
  json::object answer;
  if (path == "/control/stats") {
    for (const auto& [kind, count] : calls_) {
      answer[kind] = count;
    }
    answer["waiting_watches"] = watches_.size();
    answer["objects"] = objects_.size();
  } else if (body) {
    ApplyControl(*body);
    answer["outage"] = faults_.outage;
  }
  http_response response = ObjectResponse(200, answer);
  co_await exchange.Send(std::move(response));
}

}  // namespace cardamomyard::standins
