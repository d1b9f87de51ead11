#include "call_runner.h"

#include <utility>

namespace cardamomyard::loadgen {
namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxAnswerBytes = 16 << 20;

double MsSince(time_point start, time_point now) {
  return std::chrono::duration<double, std::milli>(now - start).count();
}

void SetError(call_record& record, const error& cause) {
  record.error = std::string(ToString(cause.kind()));
  record.outcome = std::string(ToString(cause.ran()));
}

/// Counts the events of one stream.
class stream_meter {
 public:
  stream_meter(call_record& record, time_point started)
      : record_(&record), started_(started), last_(started) {}

  void Feed(std::string_view piece, time_point now) {
    for (const stream_event& event : events_.Feed(piece)) {
      if (event.data == kStreamEnd) {
        record_->complete = record_->error.empty();
      } else if (event.data.starts_with(R"({"error")")) {
        SetError(*record_, ParseErrorBody(record_->status, event.data));
      } else {
        Token(now);
      }
    }
  }

 private:
  void Token(time_point now) {
    if (record_->tokens++ == 0) {
      record_->first_token_ms = MsSince(started_, now);
    } else {
      record_->gaps_ms.push_back(MsSince(last_, now));
    }
    last_ = now;
  }

  call_record* record_;
  time_point started_;
  time_point last_;
  event_reader events_;
};

asio::awaitable<void> ReadStream(http_call& call,
                                 call_record& record,
                                 time_point started,
                                 const clock& time) {
  stream_meter meter(record, started);
  while (true) {
    const result<std::string> piece = co_await call.ReadSome();
    if (!piece) {
      SetError(record, piece.error());
      record.complete = false;
      co_return;
    }
    if (piece->empty()) {
      break;
    }
    meter.Feed(*piece, time.Now());
  }
  if (!record.complete && record.error.empty()) {
    record.error = "stream_without_end";
    record.outcome = std::string(ToString(outcome::may_have_run));
  }
}

asio::awaitable<void> ReadWhole(http_call& call, call_record& record) {
  const result<std::string> body = co_await call.ReadAll(kMaxAnswerBytes);
  if (!body) {
    SetError(record, body.error());
  } else if (record.status >= 400) {
    SetError(record, ParseErrorBody(record.status, *body));
  } else {
    record.complete = true;
  }
}

}  // namespace

asio::awaitable<call_record> RunCall(http_client& client,
                                     host_address target,
                                     http_request request,
                                     call_options options) {
  const host_clock time;
  const time_point started = time.Now();
  call_record record;
  auto call =
      co_await client.Open(std::move(target), std::move(request), options);
  if (!call) {
    SetError(record, call.error());
    co_return record;
  }
  record.status = (*call)->status();
  record.head_ms = MsSince(started, time.Now());
  record.retry_after = (*call)->headers().Get("Retry-After").has_value();
  const std::string type = (*call)->headers().Get("Content-Type").value_or("");
  if (type.starts_with("text/event-stream")) {
    co_await ReadStream(**call, record, started, time);
  } else {
    co_await ReadWhole(**call, record);
  }
  record.total_ms = MsSince(started, time.Now());
  co_return record;
}

}  // namespace cardamomyard::loadgen
