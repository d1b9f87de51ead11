#include <algorithm>
#include <utility>

#include "src/gateway/request_handler.h"
#include "src/gateway/request_limits.h"
#include "src/gateway/unsound_event.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

// Limit for a response that is buffered completely before it is relayed.
constexpr std::size_t kMaxBufferedResponseBytes = 16U << 20U;
// A buffer exists twice while it grows.
constexpr std::size_t kBodyCopies = 2;
// A server sends the whole of a refusal at once.
constexpr std::chrono::milliseconds kRefusalBodyTimeout{200};
// A request that received more events in an attempt is no suspect when its
// server crashes: the crash comes when a server begins the answer.
constexpr int kSuspectEvents = 2;

answer_reader ReaderOf(const request_state& request, const host_runtime& host) {
  const auto& last =
      request.last_event ? request.last_event : request.caller.last_event;
  event_numbering numbering = event_numbering::optional;
  if (request.head_sent) {
    // What does not go on with a stream has no ids, such as an error's text.
    numbering = event_numbering::required;
  } else if (request.route->repeatable()) {
    numbering = event_numbering::expected;
  }
  return answer_reader::After(last, numbering, FieldCheck(host));
}

}  // namespace

bool request_handler::IsRefusal(const server_attempt& attempt) const {
  if (!attempt.has_response() || !attempt.response()) {
    return false;
  }
  const http_call& call = **attempt.response();
  return !host_->codec()
              .ParseResponseHead(call.status(), call.headers())
              .executed;
}

asio::awaitable<void> request_handler::RecordRefusal(request_state& request,
                                                     server_attempt& attempt) {
  http_call& call = **attempt.response();
  const backend_response_head head =
      host_->codec().ParseResponseHead(call.status(), call.headers());
  // Read to the end, so that the connection can be reused.
  call.LimitReads(std::min<duration>(request.deadline - host_->time().Now(),
                                     kRefusalBodyTimeout));
  const auto rest = co_await call.ReadAll(kMaxBufferedResponseBytes);
  if (request.caller_left) {
    co_return;
  }
  if (head.misdirected || !rest) {
    host_->pool().RecordFailure(attempt.backend().id, host_->time().Now());
  } else {
    host_->pool().RecordOverload(attempt.backend().id, host_->time().Now());
    CountFullServer(request, attempt.backend().id);
  }
  if (MustGoOn(request)) {
    --request.attempts;
  }
  log_.Info("A server refused a request.", {{"request", request.caller.id},
                                            {"backend", attempt.backend().id},
                                            {"status", head.status},
                                            {"attempt", request.attempts}});
}

void request_handler::CountFullServer(const request_state& request,
                                      const std::string& full) {
  const auto& servers =
      host_->pool().Status(request.service, host_->time().Now());
  const bool another_was_free =
      std::any_of(servers.begin(), servers.end(), [&full](const auto& server) {
        return server.entry.id != full && !server.in_backoff &&
               server.online + server.batch < server.entry.slots;
      });
  host_->metrics()
      .Counter("cardamomyard_full_server_total",
               {{"another_was_free", another_was_free ? "yes" : "no"}})
      .Add();
}

asio::awaitable<request_handler::next_step> request_handler::HandleResponse(
    request_state& request,
    server_attempt& attempt) {
  http_call& call = **attempt.response();
  const backend_response_head head =
      host_->codec().ParseResponseHead(call.status(), call.headers());
  if (!head.executed) {
    co_await RecordRefusal(request, attempt);
    if (request.attempts < request.route->max_attempts) {
      co_return next_step::retry;
    }
    const auto slot_hold_time = placement_.ServiceTime(request.service);
    co_await Refuse(
        request,
        error::Make(error_kind::overloaded, "the server refused the request")
            .WithRetryAfter(placement_.RetryAfter(
                slot_hold_time, std::chrono::milliseconds(0))));
    co_return next_step::finished;
  }
  request.may_have_run = true;
  const bool server_failed = head.status >= 500;
  if (server_failed && request.route->repeatable() &&
      request.attempts < request.route->max_attempts &&
      host_->time().Now() + kMinHeadTimeout < request.deadline) {
    log_.Info("A server failed a request that may be repeated.",
              {{"request", request.caller.id},
               {"backend", attempt.backend().id},
               {"status", head.status}});
    co_return next_step::retry;
  }
  if (!head.is_signed) {
    co_return co_await HandleBrokenAttempt(
        request, attempt,
        error::Make(error_kind::backend_failed, "a success has no signature"));
  }
  if (request.route->kind == route_kind::streaming && head.status == 200 &&
      head.may_be_stream) {
    co_return co_await RelayStream(request, attempt);
  }
  if (request.head_sent) {
    co_return co_await HandleBrokenAttempt(
        request, attempt,
        error::Make(error_kind::backend_failed,
                    "status " + std::to_string(head.status) +
                        " does not go on with the stream"));
  }
  co_return co_await RelayBuffered(request, attempt);
}

asio::awaitable<request_handler::next_step> request_handler::RelayBuffered(
    request_state& request,
    server_attempt& attempt) {
  http_call& call = **attempt.response();
  call.LimitReads(request.deadline - host_->time().Now());
  result<std::string> body = std::string();
  std::size_t held = 0;
  bool has_memory = true;
  while (!request.caller_left) {
    const auto piece = co_await attempt.ReadSome(request.deadline);
    if (!piece) {
      if (host_->time().Now() < request.deadline) {
        continue;
      }
      attempt.Cancel();
      body = Fail(error_kind::timeout, "the deadline has passed");
      break;
    }
    if (!*piece) {
      body = Fail(piece->error());
      break;
    }
    if ((*piece)->empty()) {
      break;
    }
    if (body->size() + (*piece)->size() > kMaxBufferedResponseBytes) {
      body = Fail(
          error::Make(error_kind::too_large, "the server's answer is too large")
              .WithOutcome(outcome::ran));
      break;
    }
    const std::size_t more = kBodyCopies * (*piece)->size();
    if (const auto taken = co_await request.exchange->HoldMemory(more);
        !taken) {
      has_memory = false;
      body = Fail(error::Make(error_kind::backend_failed,
                              "the host has no memory for the server's answer")
                      .WithOutcome(outcome::ran));
      break;
    }
    held += more;
    *body += **piece;
  }
  if (request.caller_left) {
    request.outcome_label = "caller_left";
    request.exchange->Abort();
    co_return next_step::finished;
  }
  if (!has_memory) {
    // The server is not to blame, and another one would not help.
    attempt.Cancel();
    co_await Refuse(request, body.error());
    co_return next_step::finished;
  }
  if (!body) {
    request.exchange->ReleaseMemory(held);
    co_return co_await HandleBrokenAttempt(request, attempt, body.error());
  }
  if (MayLackBody(call, *body)) {
    co_return co_await HandleBrokenAttempt(
        request, attempt,
        error::Make(error_kind::backend_failed,
                    "an answer without length has no body"));
  }
  attempt.last_event = host_->time().Now();
  host_->pool().RecordSuccess(attempt.backend().id);
  RecordCompletion(request, attempt);
  http_response response;
  response.status = call.status();
  response.headers = host_->codec().FilterResponseHeaders(call.headers());
  response.body = std::move(*body);
  request.status = response.status;
  request.first_byte = host_->time().Now();
  const result<void> sent =
      co_await request.exchange->Send(std::move(response));
  request.outcome_label = sent ? "answered" : "caller_left";
  co_return next_step::finished;
}

asio::awaitable<request_handler::next_step> request_handler::RelayStream(
    request_state& request,
    server_attempt& attempt) {
  http_call& call = **attempt.response();
  call.LimitReads(request.deadline - host_->time().Now());
  answer_reader reader = ReaderOf(request, *host_);
  error cause =
      error::Make(error_kind::backend_failed, "the stream ended early");
  // Bytes that complete no event, and comments, are no progress: a stalled
  // server may send them for ever.
  time_point last_progress = host_->time().Now();
  while (true) {
    const time_point deadline = EventDeadline(request, attempt, last_progress);
    const time_point now = host_->time().Now();
    if (now >= request.deadline) {
      cause = error::Make(error_kind::timeout, "the deadline has passed");
      break;
    }
    if (now >= deadline && co_await MoveFromSilentServer(request)) {
      co_return next_step::moved;
    }
    std::optional<result<std::string>> arrived;
    if (!request.caller_left) {
      arrived = co_await attempt.ReadSome(
          EventDeadline(request, attempt, last_progress));
    }
    if (request.caller_left) {
      request.outcome_label = "caller_left";
      request.exchange->Abort();
      co_return next_step::finished;
    }
    if (!arrived) {
      continue;
    }
    result<std::string>& chunk = *arrived;
    if (!chunk) {
      cause = chunk.error();
      break;
    }
    const bool ended = chunk->empty();
    // Without a length an answer also ends where its server crashes.
    const bool may_be_cut = call.ends_with_connection() &&
                            !request.last_event && !request.caller.last_event;
    if (ended && (!reader.at_boundary() || may_be_cut)) {
      break;
    }
    answer_part part = ended ? reader.Finish() : reader.Feed(*chunk);
    for (const stream_event& event : part.pieces) {
      request.has_unnumbered_events |= !event.id;
      if (event.id) {
        request.last_event = event.id;
        attempt.last_event = host_->time().Now();
        if (attempt.events++ == 0) {
          attempt.first_event = attempt.last_event;
        }
      }
    }
    if (!request.head_sent && (ended || !part.relay.empty())) {
      const result<void> started = co_await request.exchange->StartStream(
          call.status(), host_->codec().FilterResponseHeaders(call.headers()));
      request.head_sent = true;
      request.UpdateDeadline();
      call.LimitReads(request.deadline - host_->time().Now());
      request.status = call.status();
      request.first_byte = host_->time().Now();
      if (!started) {
        request.caller_left = true;
      }
    }
    if (!request.caller_left && !part.relay.empty()) {
      const result<void> written =
          co_await request.exchange->Write(std::move(part.relay));
      request.caller_left |= !written;
    }
    if (request.caller_left) {
      request.outcome_label = "caller_left";
      request.exchange->Abort();
      co_return next_step::finished;
    }
    if (part.progressed) {
      // After the write, as a slow caller is not the server's fault.
      last_progress = host_->time().Now();
    }
    if (part.unsound) {
      cause = ReportUnsoundEvent(
          *host_, log_, {"stream", request.caller.id, attempt.backend().id},
          *part.unsound);
      break;
    }
    if (reader.too_large()) {
      cause = error::Make(error_kind::backend_failed, "an event has no end");
      break;
    }
    if (ended) {
      host_->pool().RecordSuccess(attempt.backend().id);
      RecordCompletion(request, attempt);
      co_await request.exchange->Finish();
      request.outcome_label = "answered";
      co_return next_step::finished;
    }
  }
  attempt.Cancel();
  co_return co_await HandleBrokenAttempt(request, attempt, cause);
}

void request_handler::RecordCompletion(const request_state& request,
                                       const server_attempt& attempt) {
  const http_call& call = **attempt.response();
  // An answer without length may have ended with a crash of its server.
  const bool is_whole =
      !call.ends_with_connection() || attempt.events > kSuspectEvents;
  if (call.status() < 300 && is_whole) {
    host_->crashes().RecordCompletion(request.suspect, host_->time().Now());
  }
}

asio::awaitable<request_handler::next_step>
request_handler::HandleBrokenAttempt(request_state& request,
                                     server_attempt& attempt,
                                     const error& cause) {
  const backend_entry& backend = attempt.backend();
  const time_point now = host_->time().Now();
  request.may_have_run = true;
  const bool out_of_time = now + kDeadlineMargin >= request.deadline;
  // That a server which leaves ends is no failure.
  if (!out_of_time && host_->MaySend(backend)) {
    host_->pool().RecordFailure(backend.id, now);
    if (cause.kind() != error_kind::timeout &&
        attempt.events <= kSuspectEvents) {
      host_->RecordBreak(backend, request.suspect);
    }
  }
  const bool can_move = CanMove(request) && !request.caller_left;
  log_.Warning(
      "A server broke off a request.",
      {{"request", request.caller.id},
       {"backend", backend.id},
       {"attempt", request.attempts},
       {"last_event", request.last_event.value_or(-1)},
       {"attempt_events", attempt.events},
       {"parts", Join(request.caller.prompt_parts)},
       {"moves_on", can_move ? "yes" : "no"},
       {"route", request.route->name},
       {"limit_ms", ToMilliseconds(request.deadline - request.arrived).count()},
       {"reason", cause.message()}});
  if (can_move) {
    co_return next_step::retry;
  }
  if (request.head_sent) {
    request.outcome_label = "cut";
    request.exchange->Abort();
    co_return next_step::finished;
  }
  co_await Refuse(request,
                  error::Make(out_of_time ? error_kind::timeout
                                          : error_kind::backend_failed,
                              "the server returned no complete response"));
  co_return next_step::finished;
}

}  // namespace cardamomyard
