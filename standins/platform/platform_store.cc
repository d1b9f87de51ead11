#include "platform/platform_store.h"

#include <algorithm>
#include <boost/url/parse.hpp>
#include <boost/url/src.hpp>
#include <charconv>
#include <string_view>
#include <utility>

namespace cardamomyard::standins {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t kMaxBodyBytes = 2U << 20U;
constexpr std::chrono::milliseconds kWatchPoll{3};
constexpr std::size_t kEndlessPiece = 64 * 1024;

/// What a call is about: /v1/objects/KIND[/NAME[/status]], decoded.
struct call_target {
  std::string kind;
  std::string name;
  bool status = false;
  std::map<std::string, std::string> query;

  std::optional<std::uint64_t> Number(const std::string& parameter) const {
    const auto found = query.find(parameter);
    if (found == query.end()) {
      return std::nullopt;
    }
    std::uint64_t value = 0;
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  }
};

/// Reads a request target by RFC 3986; a plus sign in a query is a blank.
/// \returns nothing when it is malformed or names no object.
std::optional<call_target> ReadTarget(std::string_view target) {
  // A fragment is not a part of a request.
  target = target.substr(0, target.find('#'));
  const auto parsed = boost::urls::parse_origin_form(target);
  if (!parsed) {
    return std::nullopt;
  }
  std::vector<std::string> segments;
  for (const auto& segment : parsed->segments()) {
    segments.emplace_back(segment);
  }
  if (segments.size() < 3 || segments.size() > 5 || segments[0] != "v1" ||
      segments[1] != "objects" ||
      (segments.size() == 5 && segments[4] != "status")) {
    return std::nullopt;
  }
  call_target call;
  call.kind = segments[2];
  call.name = segments.size() > 3 ? segments[3] : "";
  call.status = segments.size() == 5;
  for (const auto& parameter : parsed->params()) {
    call.query.emplace(parameter.key, parameter.value);
  }
  return call;
}

http_response Plain(int status) {
  return JsonResponse(status, "{}");
}

}  // namespace

json::object platform_store::ToJson(const std::string& name,
                                    const object& held) {
  return {{"metadata", json::object{{"name", name},
                                    {"revision", held.revision},
                                    {"finalizers", json::array{}},
                                    {"deleting", false}}},
          {"spec", held.spec},
          {"status", held.status}};
}

void platform_store::Change(const std::string& kind,
                            const std::string& name,
                            bool removed) {
  object& held = kinds_[kind][name];
  held.revision = ++revision_;
  history_.push_back(
      {revision_, kind,
       json::object{{"deleted", removed}, {"object", ToJson(name, held)}},
       std::chrono::steady_clock::now()});
  if (removed) {
    kinds_[kind].erase(name);
  }
}

void platform_store::Compact() {
  const std::lock_guard lock(mutex_);
  history_.clear();
  oldest_ = ++revision_;
}

void platform_store::RefuseReads(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  refused_kind_ = kind;
}

void platform_store::RefuseWritesOf(const std::string& text) {
  const std::lock_guard lock(mutex_);
  refused_text_ = text;
}

void platform_store::Put(const std::string& kind,
                         const std::string& name,
                         json::value spec) {
  const std::lock_guard lock(mutex_);
  kinds_[kind][name].spec = std::move(spec);
  Change(kind, name, false);
}

void platform_store::PutRaw(const std::string& kind,
                            const std::string& name,
                            const std::string& text) {
  const std::string mark = "raw spec " + kind + " " + name;
  {
    const std::lock_guard lock(mutex_);
    raw_texts_[json::serialize(json::string(mark))] = text;
  }
  Put(kind, name, json::string(mark));
}

void platform_store::PutNamed(const std::string& kind,
                              const std::string& name,
                              const std::string& name_text,
                              json::value spec) {
  {
    const std::lock_guard lock(mutex_);
    raw_texts_[json::serialize(json::string(name))] = name_text;
  }
  Put(kind, name, std::move(spec));
}

std::string platform_store::Serialize(const json::value& answer) {
  std::string text = json::serialize(answer);
  for (const auto& [mark, raw] : raw_texts_) {
    for (std::size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + raw.size())) {
      text.replace(at, mark.size(), raw);
    }
  }
  return text;
}

std::map<std::string, int> platform_store::listings(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  return listings_[kind];
}

void platform_store::Erase(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  if (kinds_[kind].contains(name)) {
    Change(kind, name, true);
  }
}

json::value platform_store::Spec(const std::string& kind,
                                 const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  return found == kinds_[kind].end() ? json::value() : found->second.spec;
}

json::value platform_store::Status(const std::string& kind,
                                   const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  return found == kinds_[kind].end() ? json::value() : found->second.status;
}

http_response platform_store::Read(const std::string& kind,
                                   const std::string& name) {
  const std::lock_guard lock(mutex_);
  auto& objects = kinds_[kind];
  if (kind == refused_kind_) {
    return Plain(503);
  }
  const auto found = objects.find(name);
  return found == objects.end()
             ? Plain(404)
             : JsonResponse(200, json::serialize(ToJson(name, found->second)));
}

http_response platform_store::List(const std::string& kind,
                                   const std::string& after) {
  const std::lock_guard lock(mutex_);
  const auto& objects = kinds_[kind];
  const int asked = ++listings_[kind][after];
  auto at = after.empty() ? objects.begin() : objects.upper_bound(after);
  const bool is_circular = paging_ == paging::circular;
  if (paging_ == paging::stuck || (is_circular && at == objects.end())) {
    at = objects.begin();
  } else if (paging_ == paging::backward && asked % 2 == 1 &&
             at != objects.begin()) {
    --at;
  }
  json::array items;
  for (; at != objects.end() && items.size() < page_size_; ++at) {
    items.push_back(ToJson(at->first, at->second));
  }
  return JsonResponse(200, Serialize(json::object{
                               {"items", std::move(items)},
                               {"has-more", is_circular || at != objects.end()},
                               {"at", revision_}}));
}

http_response platform_store::Write(const http_request& request,
                                    const std::string& body,
                                    const std::string& kind,
                                    std::string name,
                                    bool status) {
  const std::lock_guard lock(mutex_);
  auto& objects = kinds_[kind];
  if (request.method == "DELETE") {
    if (!objects.contains(name)) {
      return Plain(404);
    }
    Change(kind, name, true);
    return Plain(200);
  }
  json::error_code failure;
  const json::value parsed = json::parse(body, failure);
  if (failure || !parsed.is_object() ||
      (!refused_text_.empty() &&
       body.find(refused_text_) != std::string::npos)) {
    ++refused_writes_;
    return Plain(400);
  }
  const json::object& sent = parsed.get_object();
  const json::object& metadata = sent.at("metadata").as_object();
  if (request.method == "POST") {
    name = std::string(metadata.at("name").as_string());
    if (objects.contains(name)) {
      return JsonResponse(409, json::serialize(ToJson(name, objects[name])));
    }
  } else if (!objects.contains(name)) {
    return Plain(404);
  }
  object& held = objects[name];
  if (const auto* expected = metadata.if_contains("revision");
      expected != nullptr &&
      expected->to_number<std::uint64_t>() != held.revision) {
    return JsonResponse(409, json::serialize(ToJson(name, held)));
  }
  json::value& part = status ? held.status : held.spec;
  const json::value& next = sent.at(status ? "status" : "spec");
  // A write that changes nothing keeps the revision.
  if (held.revision == 0 || part != next) {
    part = next;
    Change(kind, name, false);
  }
  return JsonResponse(200, json::serialize(ToJson(name, objects[name])));
}

asio::awaitable<http_response> platform_store::Watch(
    const std::string& kind,
    std::uint64_t after,
    std::chrono::milliseconds wait,
    bool stale) {
  const auto end = std::chrono::steady_clock::now() + wait;
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (after < oldest_) {
        co_return Plain(410);
      }
      const auto now = std::chrono::steady_clock::now();
      const auto newest = stale ? now - staleness_.load() : now;
      json::array events;
      std::uint64_t at = revision_;
      for (const event& past : history_) {
        if (past.at > newest) {
          at = std::max(after, past.revision - 1);
          break;
        }
        if (past.revision > after && past.kind == kind && !silent_watches_) {
          events.push_back(past.entry);
        }
      }
      if (!events.empty() || now >= end) {
        co_return JsonResponse(
            200,
            Serialize(json::object{{"events", std::move(events)}, {"at", at}}));
      }
    }
    co_await SleepFor(kWatchPoll);
  }
}

asio::awaitable<void> platform_store::Handle(http_exchange& exchange) {
  ++calls_;
  const http_request request = exchange.request();
  const auto body = co_await exchange.ReadBody(kMaxBodyBytes);
  if (condition_ == condition::refusing) {
    co_await exchange.Send(Plain(503));
    co_return;
  }
  if (condition_ == condition::endless) {
    co_await exchange.StartStream(200, {});
    while (co_await exchange.Write(std::string(kEndlessPiece, 'x'))) {
    }
    co_return;
  }
  const auto target = ReadTarget(request.target);
  if (!body || !target) {
    ++refusals_;
    co_await exchange.Send(Plain(400));
    co_return;
  }
  const auto& [kind, name, status, query] = *target;
  http_response answer;
  if (request.method == "GET") {
    if (const auto revision = target->Number("watch")) {
      answer = co_await Watch(
          kind, *revision,
          std::chrono::milliseconds(target->Number("wait-ms").value_or(0)),
          query.contains("stale-ok"));
    } else if (name.empty()) {
      const auto after = query.find("after");
      answer = List(kind, after == query.end() ? "" : after->second);
    } else {
      answer = Read(kind, name);
    }
  } else if (condition_ == condition::late) {
    ++waiting_writes_;
    exchange.Abort();
    co_await SleepFor(kLateWrite);
    Write(request, *body, kind, name, status);
    --waiting_writes_;
    co_return;
  } else {
    answer = Write(request, *body, kind, name, status);
    if (condition_ == condition::losing && ++writes_ % 2 == 1) {
      exchange.Abort();
      co_return;
    }
  }
  if (condition_ == condition::slow) {
    co_await SleepFor(kSlowAnswer);
  }
  co_await exchange.Send(std::move(answer));
}

}  // namespace cardamomyard::standins
