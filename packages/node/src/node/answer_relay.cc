#include "src/node/answer_relay.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "cardamomyard/telemetry.h"
#include "src/node/internal_api.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr std::size_t kMaxBufferedAnswerBytes = 16U << 20U;
// A buffer exists twice while it grows.
constexpr std::size_t kBodyCopies = 2;
// A withdrawn API key must end a stream within seconds, even if the server
// sends nothing.
constexpr std::chrono::milliseconds kCheckInterval{500};

/// State that the relay and its periodic check share; both run on one thread.
struct check_state {
  http_call* call = nullptr;  ///< Null after the relay has ended.
  std::function<std::optional<error>()> check;
  std::optional<error> failure;
};

asio::awaitable<void> CheckPeriodically(std::shared_ptr<check_state> state) {
  while (state->call != nullptr) {
    co_await SleepFor(kCheckInterval);
    if (state->call == nullptr || state->failure) {
      co_return;
    }
    state->failure = state->check();
    if (state->failure) {
      state->call->Cancel();
    }
  }
}

/// Stops the periodic check when the relay ends.
class check_scope {
 public:
  explicit check_scope(std::shared_ptr<check_state> state)
      : state_(std::move(state)) {}
  ~check_scope() { state_->call = nullptr; }
  check_scope(const check_scope&) = delete;
  check_scope& operator=(const check_scope&) = delete;

 private:
  std::shared_ptr<check_state> state_;
};

bool IsEventStream(const header_list& headers) {
  return headers.Get("Content-Type")
      .value_or("")
      .starts_with("text/event-stream");
}

header_list AnswerHeaders(const header_list& from,
                          const relay_options& options) {
  header_list headers;
  for (const http_header& field : from.all()) {
    if (SameHeaderName(field.name, "Content-Type") ||
        SameHeaderName(field.name, "Retry-After")) {
      headers.Add(field.name, field.value);
    }
  }
  headers.Set(internal_api::kRequestId, options.request_id);
  if (!options.exchange_id.empty()) {
    headers.Set(internal_api::kExchangeId, options.exchange_id);
  }
  if (std::string leaving = options.leaving ? options.leaving() : "";
      !leaving.empty()) {
    headers.Set(internal_api::kLeaving, std::move(leaving));
  }
  return headers;
}

/// Reads a whole answer, and counts it to the memory of \p to.
asio::awaitable<result<std::string>> ReadHeld(http_call& from,
                                              http_exchange& to) {
  std::string body;
  while (true) {
    result<std::string> piece = co_await from.ReadSome();
    if (!piece) {
      co_return piece;
    }
    if (piece->empty()) {
      co_return body;
    }
    if (body.size() + piece->size() > kMaxBufferedAnswerBytes) {
      co_return Fail(
          error::Make(error_kind::too_large, "the server's answer is too large")
              .WithOutcome(outcome::ran));
    }
    if (result<void> held = co_await to.HoldMemory(kBodyCopies * piece->size());
        !held) {
      co_return Fail(
          error::Make(error_kind::backend_failed,
                      "the host has no memory for the server's answer")
              .WithOutcome(outcome::ran));
    }
    body += *piece;
  }
}

asio::awaitable<relay_report> RelayBuffered(http_call& from,
                                            http_exchange& to,
                                            const relay_options& options) {
  relay_report report;
  from.LimitReads(options.event_timeout);
  result<std::string> body = co_await ReadHeld(from, to);
  if (!body) {
    // What more the server sends is not read.
    from.Cancel();
    report.failure = body.error();
    co_return report;
  }
  if (MayLackBody(from, *body)) {
    report.failure = error::Make(error_kind::backend_failed,
                                 "an answer without length has no body")
                         .WithOutcome(outcome::may_have_run);
    co_return report;
  }
  if (options.observe) {
    options.observe(*body);
  }
  if (options.observe_end) {
    options.observe_end();
  }
  http_response answer{from.status(), AnswerHeaders(from.headers(), options),
                       std::move(*body)};
  report.started = true;
  result<void> sent = co_await to.Send(std::move(answer));
  if (!sent) {
    report.failure = sent.error();
  }
  report.complete = sent.has_value();
  co_return report;
}

/// Sends the caller an error event with the cause and closes the connection.
asio::awaitable<void> AbortStream(http_exchange& to,
                                  error cause,
                                  std::string request_id) {
  std::string event = "data: " + ErrorBody(cause, request_id) + "\n\n";
  co_await to.Write(std::move(event));
  to.Abort();
}

asio::awaitable<relay_report> RelayStream(http_call& from,
                                          http_exchange& to,
                                          const relay_options& options,
                                          check_state& state) {
  relay_report report;
  event_reader events;
  from.LimitReads(options.event_timeout);
  result<std::string> piece = co_await from.ReadSome();
  if (!piece && !state.failure) {
    report.failure = piece.error();
    co_return report;
  }
  report.started = true;
  header_list headers = AnswerHeaders(from.headers(), options);
  result<void> sent = co_await to.StartStream(from.status(), headers);
  while (sent && piece && !piece->empty() && !state.failure) {
    if (options.check) {
      state.failure = options.check();
    }
    if (state.failure) {
      break;
    }
    const std::vector<stream_event> complete = events.Feed(*piece);
    const bool progressed =
        std::any_of(complete.begin(), complete.end(), IsProgress);
    if (events.too_large()) {
      break;
    }
    // Only whole events: the error event that may follow must not become a part
    // of one that the server broke off.
    std::string whole;
    for (const stream_event& event : complete) {
      whole += event.raw;
    }
    if (options.observe && !whole.empty()) {
      options.observe(whole);
    }
    if (!whole.empty()) {
      sent = co_await to.Write(std::move(whole));
    }
    if (progressed) {
      // After the write, as a slow caller is not the server's fault.
      from.LimitReads(options.event_timeout);
    }
    if (sent) {
      piece = co_await from.ReadSome();
    }
  }
  if (!sent) {
    report.failure = sent.error();
    to.Abort();
    co_return report;
  }
  if (state.failure) {
    report.failure = state.failure;
  } else if (!piece) {
    report.failure = piece.error();
  } else if (events.too_large()) {
    report.failure =
        error::Make(error_kind::backend_failed, "an event has no end");
  } else if (!events.done()) {
    report.failure = error::Make(error_kind::backend_failed,
                                 "the event stream ended before [DONE]");
  }
  if (report.failure) {
    co_await AbortStream(to, *report.failure, options.request_id);
    co_return report;
  }
  if (options.observe_end) {
    options.observe_end();
  }
  sent = co_await to.Finish();
  report.complete = sent.has_value();
  if (!sent) {
    report.failure = sent.error();
  }
  co_return report;
}

}  // namespace

asio::awaitable<relay_report> RelayAnswer(http_call& from,
                                          http_exchange& to,
                                          relay_options options) {
  auto state = std::make_shared<check_state>();
  state->call = &from;
  state->check = options.check;
  const check_scope scope(state);
  if (options.check) {
    asio::co_spawn(co_await asio::this_coro::executor, CheckPeriodically(state),
                   kEndOnException);
  }
  if (IsEventStream(from.headers())) {
    co_return co_await RelayStream(from, to, options, *state);
  }
  relay_report report = co_await RelayBuffered(from, to, options);
  if (state->failure && !report.complete) {
    report.failure = state->failure;
  }
  co_return report;
}

}  // namespace cardamomyard
