#include "engine/engine_service.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <utility>

#include "common/json_fields.h"
#include "common/key_detector.h"
#include "engine/completion_format.h"
#include "engine/generation_parser.h"

namespace cardamomyard::standins {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t kMaxBodyBytes = 8 << 20;

/// Keeps a sequence in the batcher for the lifetime of the object.
class batch_scope {
 public:
  batch_scope(batcher& batch,
              sequence& added,
              const asio::any_io_executor& executor)
      : batch_(&batch), added_(&added) {
    batch_->Add(*added_, executor);
  }
  ~batch_scope() { batch_->Remove(*added_); }
  batch_scope(const batch_scope&) = delete;
  batch_scope& operator=(const batch_scope&) = delete;

 private:
  batcher* batch_;
  sequence* added_;
};

asio::awaitable<void> WaitForChange(sequence& generated) {
  boost::system::error_code ignored;
  co_await generated.changed.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

json::array ToJson(const std::vector<std::uint64_t>& blocks) {
  json::array listed;
  for (const std::uint64_t block : blocks) {
    listed.push_back(block);
  }
  return listed;
}

}  // namespace

engine_service::engine_service(engine_options options)
    : options_(std::move(options)),
      batcher_(options_),
      orders_(options_.check_fencing) {}

void engine_service::set_on_crash(std::function<void()> action) {
  options_.on_crash = std::move(action);
}

asio::awaitable<void> engine_service::Handle(http_exchange& exchange) {
  result<std::string> body = co_await exchange.ReadBody(kMaxBodyBytes);
  if (!body) {
    http_response answer = MessageResponse(400, body.error().message());
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  const http_request& request = exchange.request();
  if (CarriesKey(request, *body)) {
    ++keys_seen_;
  }
  const std::string path = ParseTarget(request.target).path;
  const bool chat = path == "/v1/chat/completions";
  if (request.method == "POST" && (chat || path == "/v1/completions")) {
    auto parsed = ParseGeneration(*body, chat);
    if (!parsed) {
      http_response answer = MessageResponse(400, parsed.error().message());
      co_await exchange.Send(std::move(answer));
      co_return;
    }
    co_await Generate(exchange, std::move(*parsed));
    co_return;
  }
  if (request.method == "POST" && path == "/orders") {
    co_await Order(exchange, std::move(*body));
    co_return;
  }
  http_response answer = Answer(request, *body);
  co_await exchange.Send(std::move(answer));
}

asio::awaitable<void> engine_service::Generate(http_exchange& exchange,
                                               generation_request request) {
  request.id = "cmpl-" + std::to_string(++last_id_);
  request.request_id =
      exchange.request().headers.Get("X-Request-Id").value_or("");
  const auto executor = co_await asio::this_coro::executor;
  sequence generated(std::move(request), exchange, executor);
  generated.crashes =
      !options_.crash_token.empty() &&
      generated.request.prompt.find(options_.crash_token) != std::string::npos;
  const batch_scope scope(batcher_, generated, executor);
  if (generated.request.stream) {
    co_await Stream(exchange, generated);
  } else {
    while (generated.active()) {
      co_await WaitForChange(generated);
    }
  }
  if (generated.state == sequence_state::done) {
    if (!generated.request.request_id.empty()) {
      ++by_request_[generated.request.request_id];
    }
    if (!generated.request.stream) {
      http_response answer = JsonResponse(200, WholeAnswer(generated));
      co_await exchange.Send(std::move(answer));
    }
    co_return;
  }
  if (generated.state == sequence_state::cancelled &&
      !exchange.answer_started() && !exchange.PeerClosed()) {
    http_response answer = MessageResponse(499, "the request was cancelled");
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  exchange.Abort();
}

asio::awaitable<void> engine_service::Stream(http_exchange& exchange,
                                             sequence& generated) {
  std::size_t sent = generated.request.resume_tokens;
  while (true) {
    while (generated.active() && generated.generated == sent) {
      co_await WaitForChange(generated);
    }
    if (generated.active() || generated.state == sequence_state::done) {
      std::string events;
      for (; sent < generated.generated; ++sent) {
        events += ChunkEvent(generated, sent);
      }
      const bool done = generated.state == sequence_state::done;
      if (done) {
        events += "data: [DONE]\n\n";
      }
      if (!exchange.answer_started()) {
        header_list headers;
        headers.Set("Content-Type", "text/event-stream");
        co_await exchange.StartStream(200, std::move(headers));
      }
      const result<void> written = co_await exchange.Write(std::move(events));
      if (!written) {
        co_return;
      }
      if (done) {
        co_await exchange.Finish();
        co_return;
      }
    } else {
      co_return;
    }
  }
}

asio::awaitable<void> engine_service::Order(http_exchange& exchange,
                                            std::string body) {
  const json::object fields = ParseObject(body).value_or(json::object());
  engine_order order;
  order.order = GetString(fields, "order");
  order.name = GetString(fields, "name");
  order.version = GetString(fields, "version");
  order.fence = static_cast<std::uint64_t>(GetNumber(fields, "fence", 0));
  http_response answer = MessageResponse(400, "unknown order");
  if (order.order == "load_model" || order.order == "load_adapter" ||
      order.order == "change_role") {
    if (options_.order_delay.count() > 0) {
      co_await SleepFor(options_.order_delay);
    }
    if (orders_.Take(std::move(order))) {
      json::object done;
      done["fence"] = orders_.highest_fence();
      answer = ObjectResponse(200, done);
    } else {
      answer = MessageResponse(409, "the fencing number is old");
    }
  }
  co_await exchange.Send(std::move(answer));
}

http_response engine_service::Answer(const http_request& request,
                                     const std::string& body) {
  const request_target target = ParseTarget(request.target);
  const auto& parts = target.segments;
  if (target.path == "/v1/cancel") {
    return Cancel(body);
  }
  if (target.path == "/load") {
    return Load();
  }
  if (target.path == "/cache_events") {
    return CacheEvents(target);
  }
  if (parts.size() == 2 && parts[0] == "kv") {
    return ExportKv(parts[1]);
  }
  if (target.path == "/kv" && request.method == "POST") {
    return ImportKv(body);
  }
  if (target.path == "/control/stats") {
    return Stats();
  }
  return MessageResponse(404, "no such path");
}

http_response engine_service::Cancel(const std::string& body) {
  const json::object fields = ParseObject(body).value_or(json::object());
  json::object answer;
  answer["cancelled"] = batcher_.Cancel(GetString(fields, "id"));
  return ObjectResponse(200, answer);
}

http_response engine_service::Load() {
  const engine_load load = batcher_.LaggedLoad();
  json::object answer;
  answer["running"] = load.running;
  answer["waiting"] = load.waiting;
  answer["step_ms"] = load.step_ms;
  answer["cached_tokens"] = load.cached_tokens;
  return ObjectResponse(200, answer);
}

http_response engine_service::CacheEvents(const request_target& target) const {
  const std::string after = target.Query("after").value_or("0");
  json::array listed;
  for (const cache_event& event : batcher_.cache().EventsAfter(
           std::strtoull(after.c_str(), nullptr, 10), batcher_.time().Now())) {
    json::object entry;
    entry["seq"] = event.sequence;
    entry["kind"] = event.stored ? "stored" : "evicted";
    entry["block"] = event.block;
    listed.push_back(std::move(entry));
  }
  json::object answer;
  answer["events"] = std::move(listed);
  return ObjectResponse(200, answer);
}

http_response engine_service::ExportKv(const std::string& id) const {
  const kv_record* record = batcher_.FindKv(id);
  if (record == nullptr) {
    return MessageResponse(404, "no KV state with that id");
  }
  json::object answer;
  answer["id"] = id;
  answer["prompt"] = record->prompt_hash;
  answer["prompt_tokens"] = record->prompt_tokens;
  answer["tokens"] = record->tokens;
  answer["blocks"] = ToJson(record->blocks);
  return ObjectResponse(200, answer);
}

http_response engine_service::ImportKv(const std::string& body) {
  const auto fields = ParseObject(body);
  const json::value* blocks = fields ? fields->if_contains("blocks") : nullptr;
  const json::value* prompt = fields ? fields->if_contains("prompt") : nullptr;
  if (blocks == nullptr || !blocks->is_array() || prompt == nullptr ||
      !prompt->is_number()) {
    return MessageResponse(400, "not KV state");
  }
  kv_record record;
  boost::system::error_code code;
  record.prompt_hash = prompt->to_number<std::uint64_t>(code);
  record.prompt_tokens =
      static_cast<std::size_t>(GetNumber(*fields, "prompt_tokens", 0));
  record.tokens = static_cast<std::size_t>(GetNumber(*fields, "tokens", 0));
  for (const json::value& block : blocks->get_array()) {
    record.blocks.push_back(block.to_number<std::uint64_t>(code));
  }
  if (code) {
    return MessageResponse(400, "a hash is not a 64-bit number");
  }
  batcher_.ImportKv(GetString(*fields, "id"), std::move(record));
  return JsonResponse(200, "{}");
}

http_response engine_service::Stats() const {
  const engine_counters& counters = batcher_.counters();
  json::object answer;
  answer["started"] = counters.started;
  answer["completed"] = counters.completed;
  answer["cancelled"] = counters.cancelled;
  answer["tokens"] = counters.tokens;
  answer["crashes"] = counters.crashes;
  answer["keys_seen"] = keys_seen_;
  json::object by_request;
  for (const auto& [id, count] : by_request_) {
    by_request[id] = count;
  }
  answer["by_request"] = std::move(by_request);
  json::array orders;
  for (const engine_order& order : orders_.all()) {
    json::object entry;
    entry["order"] = order.order;
    entry["name"] = order.name;
    entry["version"] = order.version;
    entry["fence"] = order.fence;
    entry["accepted"] = order.accepted;
    orders.push_back(std::move(entry));
  }
  answer["orders"] = std::move(orders);
  return ObjectResponse(200, answer);
}

}  // namespace cardamomyard::standins
