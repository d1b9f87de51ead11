#include "src/store/store_client.h"

#include <boost/json.hpp>
#include <charconv>
#include <unordered_set>
#include <utility>

#include "src/net/message_size.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConditionFailed = 412;
constexpr int kStatusTooMany = 429;
constexpr std::size_t kListPage = 1000;
// Above any page and any value; a faulty store may send bytes without end.
constexpr std::size_t kMaxAnswerBytes = 4U << 20U;
constexpr std::size_t kMaxLoggedBytes = 256;
constexpr std::chrono::milliseconds kFirstBackoff{20};

std::string ObjectTarget(const std::string& key) {
  return "/v1/objects/" + EncodeKeyPath(key);
}

std::string QuoteVersion(std::uint64_t version) {
  return "\"" + std::to_string(version) + "\"";
}

std::uint64_t VersionOf(const http_response& answer) {
  const std::string tag = answer.headers.Get("ETag").value_or("");
  std::uint64_t version = 0;
  if (tag.size() > 2) {
    std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
  }
  return version;
}

struct condition_header {
  http_request* request;
  void operator()(const write_always& /*unused*/) const {}
  void operator()(const write_if_absent& /*unused*/) const {
    request->headers.Set("If-None-Match", "*");
  }
  void operator()(const write_if_version& expected) const {
    request->headers.Set("If-Match", QuoteVersion(expected.version));
  }
};

/// \returns an entry of a listing of \p prefix; nothing if it cannot be read.
std::optional<object_listing::entry> ReadEntry(const json::value& item,
                                               const std::string& prefix) {
  const json::object* fields = item.if_object();
  const json::value* key = fields ? fields->if_contains("key") : nullptr;
  const json::value* version =
      fields ? fields->if_contains("version") : nullptr;
  if (key == nullptr || !key->is_string() ||
      !key->get_string().starts_with(prefix) || version == nullptr) {
    return std::nullopt;
  }
  boost::system::error_code code;
  const auto number = version->to_number<std::uint64_t>(code);
  if (code) {
    return std::nullopt;
  }
  return object_listing::entry{std::string(key->get_string()), number};
}

error Unavailable(const std::string& reason, outcome ran) {
  return error::Make(error_kind::store_unavailable, "object API: " + reason)
      .WithOutcome(ran);
}

bool AnswerWasLost(const error& cause) {
  return cause.kind() == error_kind::store_unavailable &&
         cause.ran() == outcome::may_have_run;
}

bool ConditionStillHolds(const write_condition& condition,
                         const std::optional<stored_object>& current) {
  const std::uint64_t version = current ? current->version : 0;
  if (std::holds_alternative<write_if_absent>(condition)) {
    return version == 0;
  }
  if (const auto* expected = std::get_if<write_if_version>(&condition)) {
    return version == expected->version;
  }
  return true;
}

}  // namespace

write_condition IfUnchanged(const std::optional<stored_object>& read) {
  if (!read) {
    return write_if_absent{};
  }
  return write_if_version{read->version};
}

store_client::store_client(store_options options,
                           http_client& http,
                           const clock& time,
                           metrics_registry& metrics)
    : options_(std::move(options)),
      http_(&http),
      clock_(&time),
      metrics_(&metrics) {}

std::unique_ptr<store_client> store_client::Create(store_options options,
                                                   http_client& http,
                                                   const clock& time,
                                                   metrics_registry& metrics) {
  return std::unique_ptr<store_client>(
      new store_client(std::move(options), http, time, metrics));
}

std::optional<time_point> store_client::last_contact() const {
  const duration::rep stored = last_contact_;
  if (stored == 0) {
    return std::nullopt;
  }
  return time_point(duration(stored));
}

asio::awaitable<result<http_response>> store_client::Call(
    http_request request,
    std::chrono::milliseconds timeout) {
  call_options options;
  options.connect_timeout = options_.timeout;
  options.head_timeout = timeout;
  options.idle_timeout = timeout;
  // Every call here is a read, an idempotent write or a conditional one whose
  // second copy fails its condition and is then resolved by reading back.
  options.reuse_connection = true;
  const time_point sent = clock_->Now();
  metrics_
      ->Counter("cardamomyard_store_calls_total", {{"method", request.method}})
      .Add();
  const auto count_bytes = [this](const char* direction, std::size_t bytes) {
    metrics_
        ->Counter("cardamomyard_store_bytes_total", {{"direction", direction}})
        .Add(static_cast<std::int64_t>(bytes));
  };
  count_bytes("sent", MessageBytes(request));
  result<http_response> answer = co_await http_->Fetch(
      options_.address, std::move(request), options, kMaxAnswerBytes);
  if (!answer) {
    metrics_->Counter("cardamomyard_store_failures_total").Add();
    co_return Fail(Unavailable(answer.error().message(), answer.error().ran()));
  }
  count_bytes("received", MessageBytes(*answer));
  if (answer->status >= 500 || answer->status == kStatusTooMany) {
    metrics_->Counter("cardamomyard_store_failures_total").Add();
    co_return Fail(Unavailable("status " + std::to_string(answer->status),
                               outcome::not_run));
  }
  // The time of sending: the answer proves contact no later than that.
  last_contact_ = sent.time_since_epoch().count();
  co_return answer;
}

asio::awaitable<result<http_response>> store_client::CallIdempotent(
    http_request request) {
  std::chrono::milliseconds backoff = kFirstBackoff;
  for (int attempt = 1;; ++attempt) {
    result<http_response> answer = co_await Call(request, options_.timeout);
    if (answer || attempt == options_.max_tries) {
      co_return answer;
    }
    co_await SleepFor(backoff);
    backoff *= 2;
  }
}

asio::awaitable<result<std::optional<stored_object>>> store_client::Get(
    std::string key) {
  http_request request;
  request.target = ObjectTarget(key);
  result<http_response> answer = co_await CallIdempotent(std::move(request));
  if (!answer) {
    co_return Fail(answer.error().WithOutcome(outcome::not_run));
  }
  if (answer->status == kStatusNotFound) {
    co_return std::nullopt;
  }
  co_return stored_object{std::move(answer->body), VersionOf(*answer)};
}

asio::awaitable<result<std::uint64_t>> store_client::PutOnce(
    const std::string& key,
    const std::string& value,
    const write_condition& condition) {
  http_request request;
  request.method = "PUT";
  request.target = ObjectTarget(key);
  request.body = value;
  std::visit(condition_header{&request}, condition);
  result<http_response> answer =
      co_await Call(std::move(request), options_.timeout);
  if (!answer) {
    co_return Fail(answer.error());
  }
  if (answer->status == kStatusConditionFailed) {
    co_return Fail(error_kind::conflict,
                   key + " was changed by another writer");
  }
  if (answer->status != kStatusOk) {
    co_return Fail(error_kind::internal, "object API refused " + key +
                                             " with status " +
                                             std::to_string(answer->status));
  }
  co_return VersionOf(*answer);
}

asio::awaitable<result<std::uint64_t>> store_client::Put(
    std::string key,
    std::string value,
    write_condition condition) {
  if (value.size() > kMaxValueBytes) {
    co_return Fail(error_kind::too_large,
                   key + " has " + std::to_string(value.size()) +
                       " bytes; the object API takes at most " +
                       std::to_string(kMaxValueBytes));
  }
  std::chrono::milliseconds backoff = kFirstBackoff;
  for (int attempt = 1;; ++attempt) {
    result<std::uint64_t> written = co_await PutOnce(key, value, condition);
    if (written) {
      co_return written;
    }
    const bool maybe_mine = AnswerWasLost(written.error()) ||
                            written.error().kind() == error_kind::conflict;
    if (maybe_mine) {
      // A conflict may be caused by an earlier copy of this very write.
      result<std::optional<stored_object>> current = co_await Get(key);
      if (!current) {
        co_return Fail(current.error().WithOutcome(written.error().ran()));
      }
      if (*current && (*current)->value == value) {
        co_return (*current)->version;
      }
      if (!ConditionStillHolds(condition, *current)) {
        co_return Fail(error_kind::conflict,
                       key + " was changed by another writer");
      }
    }
    const bool transient =
        maybe_mine || written.error().kind() == error_kind::store_unavailable;
    if (!transient || attempt == options_.max_tries) {
      co_return written;
    }
    co_await SleepFor(backoff);
    backoff *= 2;
  }
}

asio::awaitable<result<void>> store_client::CreateImmutable(std::string key,
                                                            std::string value) {
  const write_condition condition = write_if_absent{};
  result<std::uint64_t> written =
      co_await Put(std::move(key), std::move(value), condition);
  if (!written) {
    co_return Fail(written.error());
  }
  co_return result<void>();
}

asio::awaitable<result<void>> store_client::Remove(std::string key) {
  http_request request;
  request.method = "DELETE";
  request.target = ObjectTarget(key);
  result<http_response> answer = co_await CallIdempotent(std::move(request));
  if (!answer) {
    co_return Fail(answer.error());
  }
  co_return result<void>();
}

asio::awaitable<result<object_listing>> store_client::List(
    std::string prefix,
    std::string start_after,
    std::size_t limit) {
  http_request request;
  request.target = "/v1/objects?prefix=" + PercentEncode(prefix) +
                   "&start_after=" + PercentEncode(start_after) +
                   "&limit=" + std::to_string(limit);
  result<http_response> answer = co_await CallIdempotent(std::move(request));
  if (!answer) {
    co_return Fail(answer.error().WithOutcome(outcome::not_run));
  }
  boost::system::error_code code;
  const json::value body = json::parse(answer->body, code);
  const json::object* fields = code ? nullptr : body.if_object();
  const json::value* objects =
      fields == nullptr ? nullptr : fields->if_contains("objects");
  if (objects == nullptr || !objects->is_array()) {
    co_return Fail(Unavailable("malformed listing", outcome::not_run));
  }
  object_listing listing;
  for (const json::value& item : objects->as_array()) {
    auto entry = ReadEntry(item, prefix);
    if (!entry) {
      log_.Warning(
          "An entry of a listing cannot be read.",
          {{"prefix", prefix},
           {"entry", json::serialize(item).substr(0, kMaxLoggedBytes)}});
      continue;
    }
    listing.entries.push_back(std::move(*entry));
  }
  const json::value* more = fields->if_contains("more");
  listing.more = more != nullptr && more->is_bool() && more->as_bool();
  co_return listing;
}

asio::awaitable<result<std::vector<object_listing::entry>>>
store_client::ListAll(std::string prefix) {
  std::vector<object_listing::entry> all;
  std::unordered_set<std::string> keys;
  std::string start_after;
  while (true) {
    result<object_listing> page = co_await List(prefix, start_after, kListPage);
    if (!page) {
      co_return Fail(page.error());
    }
    const std::size_t listed = all.size();
    for (object_listing::entry& entry : page->entries) {
      if (keys.insert(entry.key).second) {
        all.push_back(std::move(entry));
      }
    }
    if (!page->more) {
      co_return all;
    }
    if (all.size() == listed) {
      // The store would be asked for the same pages without end.
      co_return Fail(Unavailable(
          "a listing does not go on after " + start_after, outcome::not_run));
    }
    start_after = all.back().key;
  }
}

asio::awaitable<result<std::optional<stored_object>>> store_client::Watch(
    std::string key,
    std::uint64_t after,
    std::chrono::milliseconds wait) {
  http_request request;
  request.target = "/v1/watch/" + EncodeKeyPath(key) +
                   "?after=" + std::to_string(after) +
                   "&timeout_ms=" + std::to_string(wait.count());
  result<http_response> answer =
      co_await Call(std::move(request), wait + options_.timeout);
  if (!answer) {
    co_return Fail(answer.error().WithOutcome(outcome::not_run));
  }
  if (answer->status == kStatusNoContent || answer->status == kStatusNotFound) {
    co_return std::nullopt;
  }
  co_return stored_object{std::move(answer->body), VersionOf(*answer)};
}

}  // namespace cardamomyard
