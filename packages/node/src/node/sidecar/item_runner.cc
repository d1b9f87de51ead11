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
  if (run->stop_requested || (run->sent && !run->repeatable)) {
    return;
  }
  run->stop_requested = true;
  if (run->call == nullptr) {
    return;  // Call() checks the flag when the answer begins.
  }
  if (!run->stream) {
    run->call->Cancel();
  } else if (!run->progress.stream_id().empty()) {
    asio::co_spawn(executor_, CancelOnEngine(run), kEndOnException);
  }
  // Without a stream id, ReadStream() cancels after the first event. That event
  // gives the id, and its token would otherwise be generated twice.
}

asio::awaitable<void> item_runner::CancelOnEngine(
    std::shared_ptr<item_run> run) {
  // The stream is still read during the cancellation, so that tokens in transit
  // are not generated again.
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
  http_call* const cancelled_call = run->call;
  result<http_response> cancelled = co_await parts_->http->Fetch(
      parts_->settings->backend, std::move(request), options);
  if (cancelled && run->call == cancelled_call) {
    co_await SleepFor(kStreamEndTimeout);
  }
  if (run->call != nullptr && run->call == cancelled_call) {
    run->call->Cancel();
  }
}

asio::awaitable<item_outcome> item_runner::Run(std::shared_ptr<item_run> run,
                                               slot acquired_slot) {
  const request_id id = acquired_slot.id();
  item_outcome run_result;
  if (run->stop_requested) {
    run_result.stopped = true;
    co_return run_result;
  }
  run->sent = true;
  backend_monitor& monitor = *parts_->monitor;
  monitor.RequestStarted(id, run->fingerprint, run->isolated);
  run_result = co_await Call(run);
  const std::optional<error>& failure = run_result.report.failure;
  if (failure && !run_result.stopped) {
    // The item must still count as running when the crash is recorded.
    const bool crashed =
        co_await asio::co_spawn(parts_->context->control(),
                                monitor.ConfirmCrash(), asio::use_awaitable);
    run_result.report.engine_died =
        crashed && run_result.report.failure->ran() == outcome::may_have_run;
  } else if (run->isolated && !failure) {
    monitor.ClearSuspect(run->fingerprint);
  }
  monitor.RequestEnded(id);
  co_return run_result;
}

asio::awaitable<item_outcome> item_runner::Call(std::shared_ptr<item_run> run) {
  item_outcome run_result;
  run_result.report.repeatable = run->repeatable;
  run_result.report.ran_alone = run->isolated;
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
  options.body_timeout = run->timeout;
  auto opened = co_await parts_->http->Open(parts_->settings->backend,
                                            std::move(request), options);
  if (!opened) {
    run_result.report.failure = opened.error();
    co_return run_result;
  }
  http_call& call = **opened;
  run->call = &call;
  const bool streamed = call.headers()
                            .Get("Content-Type")
                            .value_or("")
                            .starts_with("text/event-stream");
  if (run->stop_requested && !streamed) {
    run->call = nullptr;
    run_result.stopped = true;  // Destroying the call cancels it on the engine.
    co_return run_result;
  }
  if (streamed) {
    run_result.report.failure = co_await ReadStream(run, call);
    run_result.body = run->progress.AssembledAnswer();
    run_result.tokens = run->progress.Usage();
  } else {
    result<std::string> body = co_await call.ReadAll(kMaxAnswerBytes);
    if (body && MayLackBody(call, *body)) {
      run_result.report.failure =
          error::Make(error_kind::backend_failed,
                      "an answer without length has no body")
              .WithOutcome(outcome::may_have_run);
    } else if (body) {
      run_result.body = std::move(*body);
      run_result.tokens = ReadUsage(run_result.body);
    } else {
      run_result.report.failure = body.error();
    }
  }
  run->call = nullptr;
  if (!run_result.report.failure) {
    run_result.report.http_status = call.status();
  }
  run_result.stopped =
      run->stop_requested && run_result.report.failure.has_value();
  co_return run_result;
}

asio::awaitable<std::optional<error>> item_runner::ReadStream(
    std::shared_ptr<item_run> run,
    http_call& call) {
  event_reader events;
  call.LimitReads(run->timeout);
  while (true) {
    result<std::string> received = co_await call.ReadSome();
    if (!received) {
      // A stream that is cut off after the last token has lost nothing.
      if (run->progress.complete()) {
        co_return std::nullopt;
      }
      co_return received.error();
    }
    const bool id_known = !run->progress.stream_id().empty();
    for (const stream_event& event : events.Feed(*received)) {
      if (IsProgress(event)) {
        call.LimitReads(run->timeout);
      }
      if (event.data != kStreamEnd && !run->progress.Feed(event.data)) {
        co_return error::Make(
            error_kind::backend_failed,
            "the stream holds an event that is not an answer");
      }
    }
    if (events.too_large()) {
      co_return error::Make(error_kind::backend_failed, "an event has no end");
    }
    if (received->empty()) {
      break;
    }
    if (!id_known && run->stop_requested &&
        !run->progress.stream_id().empty()) {
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
