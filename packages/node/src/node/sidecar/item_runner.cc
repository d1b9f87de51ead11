#include "src/node/sidecar/item_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/internal_api.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::chrono::milliseconds kCancelTimeout{500};
constexpr std::chrono::milliseconds kStreamEndTimeout{200};
constexpr std::size_t kMaxAnswerBytes = 16U << 20U;

}  // namespace

item_runner::item_runner(batch_parts& parts, asio::any_io_executor executor)
    : parts_(&parts), executor_(std::move(executor)) {}

void item_runner::Stop(const std::shared_ptr<item_run>& run) {
  if (run->stop || (run->begun && !run->repeatable)) {
    return;
  }
  run->stop = true;
  if (run->call == nullptr) {
    return;  // Call() looks at the flag when the answer begins.
  }
  if (!run->stream) {
    run->call->Cancel();
  } else if (!run->progress.stream_id().empty()) {
    asio::co_spawn(executor_, CancelOnEngine(run), kEndOnException);
  }
  // Otherwise ReadStream() cancels after the first event, which names the
  // stream and whose token would be generated twice.
}

asio::awaitable<void> item_runner::CancelOnEngine(
    std::shared_ptr<item_run> run) {
  // Tokens that are on their way still arrive while the engine is told, so that
  // they are not generated again.
  http_request request;
  request.method = "POST";
  request.target = "/v1/cancel";
  request.headers.Set("Content-Type", "application/json");
  request.body =
      json::serialize(json::object{{"id", run->progress.stream_id()}});
  call_options options;
  options.connect_timeout = kCancelTimeout;
  options.head_timeout = kCancelTimeout;
  options.idle_timeout = kCancelTimeout;
  options.reuse_connection = true;
  http_call* const before = run->call;
  result<http_response> cancelled = co_await parts_->http->Fetch(
      parts_->settings->backend, std::move(request), options);
  if (cancelled && run->call == before) {
    co_await SleepFor(kStreamEndTimeout);
  }
  if (run->call != nullptr && run->call == before) {
    run->call->Cancel();
  }
}

asio::awaitable<item_outcome> item_runner::Run(std::shared_ptr<item_run> run,
                                               slot held) {
  const request_id id = held.id();
  item_outcome ended;
  if (run->stop) {
    ended.stopped = true;
    co_return ended;
  }
  run->begun = true;
  backend_monitor& monitor = *parts_->monitor;
  monitor.RequestStarted(id, run->print, run->alone);
  ended = co_await Call(run);
  const std::optional<error>& failure = ended.report.failure;
  if (failure && !ended.stopped) {
    // The item must still count as running while the death is recorded.
    const bool died =
        co_await asio::co_spawn(parts_->context->control(),
                                monitor.ConfirmDeath(), asio::use_awaitable);
    ended.report.engine_died =
        died && ended.report.failure->ran() == outcome::may_have_run;
  } else if (run->alone && !failure) {
    monitor.RecordSurvival(run->print);
  }
  monitor.RequestEnded(id);
  co_return ended;
}

asio::awaitable<item_outcome> item_runner::Call(std::shared_ptr<item_run> run) {
  item_outcome ended;
  ended.report.repeatable = run->repeatable;
  ended.report.ran_alone = run->alone;
  http_request request;
  request.method = "POST";
  request.target = run->content.url;
  request.headers.Set("Content-Type", "application/json");
  request.headers.Set(internal_api::kRequestId, run->request_id);
  request.headers.Set(internal_api::kTraceparent,
                      trace_context::New().ToHeader());
  request.body = run->content.body;
  if (run->stream) {
    request.body = run->progress.StreamRequestBody(run->content.body);
    run->progress.BeginStream();
  }
  call_options options;
  options.connect_timeout = kConnectTimeout;
  options.head_timeout = run->timeout;
  options.idle_timeout = run->timeout;
  auto opened = co_await parts_->http->Open(parts_->settings->backend,
                                            std::move(request), options);
  if (!opened) {
    ended.report.failure = opened.error();
    co_return ended;
  }
  http_call& call = **opened;
  run->call = &call;
  const bool streamed = call.headers()
                            .Get("Content-Type")
                            .value_or("")
                            .starts_with("text/event-stream");
  if (run->stop && !streamed) {
    run->call = nullptr;
    ended.stopped = true;  // Destroying the call cancels it on the engine.
    co_return ended;
  }
  if (streamed) {
    ended.report.failure = co_await ReadStream(run, call);
    ended.body = run->progress.AssembledAnswer();
    ended.tokens = run->progress.Usage();
  } else {
    result<std::string> body = co_await call.ReadAll(kMaxAnswerBytes);
    if (body) {
      ended.body = std::move(*body);
      ended.tokens = ReadUsage(ended.body);
    } else {
      ended.report.failure = body.error();
    }
  }
  run->call = nullptr;
  if (!ended.report.failure) {
    ended.report.http_status = call.status();
  }
  ended.stopped = run->stop && ended.report.failure.has_value();
  co_return ended;
}

asio::awaitable<std::optional<error>> item_runner::ReadStream(
    std::shared_ptr<item_run> run,
    http_call& call) {
  event_reader events;
  while (true) {
    result<std::string> piece = co_await call.ReadSome();
    if (!piece) {
      // A cut after the last token loses nothing.
      if (run->progress.complete()) {
        co_return std::nullopt;
      }
      co_return piece.error();
    }
    const bool named = !run->progress.stream_id().empty();
    for (const stream_event& event : events.Feed(*piece)) {
      if (event.data != kStreamEnd && !run->progress.Feed(event.data)) {
        co_return error::Make(error_kind::backend_failed,
                              "the stream holds an event that is no answer");
      }
    }
    if (piece->empty()) {
      break;
    }
    if (!named && run->stop && !run->progress.stream_id().empty()) {
      asio::co_spawn(executor_, CancelOnEngine(run), kEndOnException);
    }
  }
  if (!events.done()) {
    co_return error::Make(error_kind::backend_failed,
                          "the stream ended before [DONE]");
  }
  co_return std::nullopt;
}

}  // namespace cardamomyard
