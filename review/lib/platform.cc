#include "platform.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace review {
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kValueBytes = 1048576;
constexpr std::size_t kPageObjects = 500;
constexpr std::size_t kPageBytes = 1000000;
constexpr std::chrono::seconds kHistory{20};
constexpr milliseconds kAnswerTime{4};
constexpr milliseconds kPoll{2};
constexpr std::string_view kRoot = "/v1/objects/";
constexpr std::string_view kStatus = "/status";

response Json(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string Parameter(const std::string& query, const std::string& name) {
  std::size_t at = 0;
  while (at < query.size()) {
    const std::size_t end = std::min(query.find('&', at), query.size());
    const std::string pair = query.substr(at, end - at);
    if (pair.starts_with(name + "=")) {
      return pair.substr(name.size() + 1);
    }
    at = end + 1;
  }
  return "";
}

}  // namespace

platform::platform(const std::string& ip)
    : server_(std::make_unique<listener>(
          endpoint{ip, 0},
          [this](const request& call, responder& answer) {
            Handle(call, answer);
          })) {}

std::string platform::Encode(const object& held) {
  const json::object metadata{{"name", held.name},
                              {"revision", held.revision},
                              {"created-at", 9},
                              {"finalizers", json::array{}},
                              {"deleting", false}};
  return R"({"metadata":)" + json::serialize(metadata) + R"(,"spec":)" +
         (held.raw_spec.empty() ? json::serialize(held.spec) : held.raw_spec) +
         R"(,"status":)" + json::serialize(held.status) + "}";
}

std::uint64_t platform::Change(const std::string& kind,
                               const object& held,
                               bool deleted) {
  const auto now = steady_clock::now();
  history_.push_back({revision_, now, kind, held, deleted});
  while (now - history_.front().at > kHistory) {
    oldest_ = history_.front().revision;
    history_.pop_front();
  }
  return revision_;
}

std::uint64_t platform::Put(const std::string& kind,
                            const std::string& name,
                            json::value spec) {
  const std::lock_guard lock(mutex_);
  object& held = kinds_[kind][name];
  held.name = name;
  held.spec = std::move(spec);
  held.revision = ++revision_;
  return Change(kind, held, false);
}

void platform::PutRaw(const std::string& kind,
                      const std::string& name,
                      const std::string& text) {
  const std::lock_guard lock(mutex_);
  object& held = kinds_[kind][name];
  held.name = name;
  held.raw_spec = text;
  held.revision = ++revision_;
  Change(kind, held, false);
}

void platform::Erase(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  if (found != kinds_[kind].end()) {
    object held = found->second;
    held.revision = ++revision_;
    kinds_[kind].erase(found);
    Change(kind, held, true);
  }
}

json::value platform::Spec(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_[kind].find(name);
  return found == kinds_[kind].end() ? json::value() : found->second.spec;
}

response platform::List(const std::string& kind, const std::string& after) {
  const std::lock_guard lock(mutex_);
  std::string items;
  std::size_t count = 0;
  bool more = false;
  const auto& objects = kinds_[kind];
  for (auto at = objects.upper_bound(after); at != objects.end(); ++at) {
    const std::string encoded = Encode(at->second);
    if (count == kPageObjects ||
        (count > 0 && items.size() + encoded.size() > kPageBytes)) {
      more = true;
      break;
    }
    items += (count++ == 0 ? "" : ",") + encoded;
  }
  return Json(200, R"({"items":[)" + items + R"(],"has-more":)" +
                       (more ? "true" : "false") + R"(,"at":)" +
                       std::to_string(revision_) + "}");
}

void platform::Watch(const std::string& kind,
                     std::uint64_t after,
                     milliseconds wait,
                     bool stale,
                     responder& answer) {
  const auto end = steady_clock::now() + wait;
  while (answer.open()) {
    const auto now = steady_clock::now();
    {
      std::unique_lock lock(mutex_);
      if (after < oldest_) {
        lock.unlock();
        answer.Send(Json(410, "{}"));
        return;
      }
      const auto visible = stale ? now - staleness_.load() : now;
      std::string events;
      std::uint64_t at = stale ? after : revision_;
      for (const event& past : history_) {
        if (past.at > visible) {
          break;
        }
        at = std::max(at, past.revision);
        if (past.revision > after && past.kind == kind) {
          events += (events.empty() ? "" : ",") +
                    std::string(R"({"deleted":)") +
                    (past.deleted ? "true" : "false") + R"(,"object":)" +
                    Encode(past.held) + "}";
        }
      }
      if (!events.empty() || now >= end || down_) {
        lock.unlock();
        answer.Send(down_ ? Json(503, "{}")
                          : Json(200, R"({"events":[)" + events + R"(],"at":)" +
                                          std::to_string(at) + "}"));
        return;
      }
    }
    if (answer.PeerClosed()) {
      return;
    }
    std::this_thread::sleep_for(kPoll);
  }
}

response platform::Write(const request& call,
                         const std::string& kind,
                         std::string name,
                         bool status) {
  if (call.body.size() > kValueBytes) {
    return Json(413, "{}");
  }
  const std::lock_guard lock(mutex_);
  auto& objects = kinds_[kind];
  if (call.method == "DELETE") {
    const auto found = objects.find(name);
    if (found == objects.end()) {
      return Json(404, "{}");
    }
    object held = found->second;
    held.revision = ++revision_;
    objects.erase(found);
    Change(kind, held, true);
    return Json(200, Encode(held));
  }
  boost::system::error_code code;
  const json::value parsed = json::parse(call.body, code);
  if (code || !parsed.is_object()) {
    return Json(400, "{}");
  }
  const json::object& sent = parsed.get_object();
  const json::object& metadata = sent.at("metadata").as_object();
  if (call.method == "POST") {
    name = std::string(metadata.at("name").as_string());
    if (objects.contains(name)) {
      return Json(409, Encode(objects[name]));
    }
    objects[name].name = name;
  } else if (!objects.contains(name)) {
    return Json(404, "{}");
  }
  object& held = objects[name];
  const json::value* expected = metadata.if_contains("revision");
  if (expected != nullptr &&
      expected->to_number<std::uint64_t>() != held.revision) {
    return Json(409, Encode(held));
  }
  json::value& part = status ? held.status : held.spec;
  const json::value& next = sent.at(status ? "status" : "spec");
  if (held.revision == 0 || part != next) {
    part = next;
    held.revision = ++revision_;
    Change(kind, held, false);
  }
  return Json(200, Encode(held));
}

void platform::Handle(const request& call, responder& answer) {
  std::string target = call.target;
  const std::size_t mark = target.find('?');
  const std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
  target.resize(std::min(mark, target.size()));
  if (!target.starts_with(kRoot)) {
    answer.Send(Json(404, "{}"));
    return;
  }
  target.erase(0, kRoot.size());
  const bool status = target.ends_with(kStatus);
  if (status) {
    target.resize(target.size() - kStatus.size());
  }
  const std::size_t slash = target.find('/');
  const std::string kind = target.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : target.substr(slash + 1);
  std::this_thread::sleep_for(kAnswerTime);
  if (down_) {
    answer.Send(Json(503, "{}"));
    return;
  }
  if (call.method != "GET") {
    answer.Send(Write(call, kind, name, status));
    return;
  }
  const std::string watch = Parameter(query, "watch");
  if (!watch.empty()) {
    const std::string wait = Parameter(query, "wait-ms");
    Watch(kind, std::stoull(watch),
          milliseconds(wait.empty() ? 0 : std::stoll(wait)),
          Parameter(query, "stale-ok") == "1", answer);
    return;
  }
  if (name.empty()) {
    answer.Send(List(kind, Parameter(query, "after")));
    return;
  }
  response found = Json(404, "{}");
  {
    const std::lock_guard lock(mutex_);
    const auto at = kinds_[kind].find(name);
    if (at != kinds_[kind].end()) {
      found = Json(200, Encode(at->second));
    }
  }
  answer.Send(found);
}

}  // namespace review
