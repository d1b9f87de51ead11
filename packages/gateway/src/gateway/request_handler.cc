#include "src/gateway/request_handler.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

// Limit for a response that is buffered completely before it is relayed.
constexpr std::size_t kMaxBufferedResponseBytes = 16U << 20U;
// A nearby server accepts a connection within 1 or 2 ms.
constexpr std::chrono::milliseconds kConnectTimeout{250};
// Share of a route's pause objective after which a stream that another server
// can resume is moved there. The rest is left for that server's first event, so
// that the whole pause stays within the objective.
constexpr double kEventTimeoutShare = 0.6;
constexpr std::chrono::milliseconds kMinEventTimeout{150};
// Share of a route's latency objective after which a repeatable request without
// a response is sent to another server, whose response can still be on time.
constexpr double kHeadTimeoutShare = 0.6;
constexpr std::chrono::milliseconds kMinHeadTimeout{60};
// A request waits for a slot for the latency objective divided by this number.
// A later refusal would leave the caller less time to retry.
constexpr int kSlotWaitDivisor = 6;
constexpr std::chrono::milliseconds kPlacementPollInterval{12};
// Share of the latency objective that a request may spend in a server's queue.
constexpr double kMaxQueueWaitShare = 0.7;
// A request is refused when a server cannot be reached and this many have been
// tried.
constexpr std::size_t kMaxTriedServers = 5;
// A server sends the whole of a refusal at once.
constexpr std::chrono::milliseconds kRefusalBodyTimeout{200};
// A request that received more events in an attempt is no suspect when its
// server crashes: the crash comes when a server begins the answer.
constexpr int kSuspectEvents = 2;
// The response must leave this host before the deadline.
constexpr std::chrono::milliseconds kDeadlineMargin{20};

std::chrono::milliseconds ToMilliseconds(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

std::chrono::milliseconds Scale(std::chrono::milliseconds time, double share) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

/// \returns whether an event may follow those that the caller has. A server
/// that starts from the beginning when it was asked to resume would otherwise
/// repeat events.
bool Continues(const request_state& request, std::int64_t event) {
  const auto& last =
      request.last_event ? request.last_event : request.caller.last_event;
  return !last || event > *last;
}

std::string Join(const std::vector<std::string>& names) {
  std::string list;
  for (const std::string& name : names) {
    list += (list.empty() ? "" : ",") + name;
  }
  return list;
}

/// Counts a request in its server's load during the lifetime of this object.
class load_scope {
 public:
  load_scope(host_runtime& host, const std::string& backend)
      : host_(&host), backend_(backend) {
    host_->RecordStart(backend_, work_class::online);
  }
  ~load_scope() { host_->RecordEnd(backend_, work_class::online); }
  load_scope(const load_scope&) = delete;
  load_scope& operator=(const load_scope&) = delete;

 private:
  host_runtime* host_;
  std::string backend_;
};

}  // namespace

request_handler::request_handler(host_runtime& host, quota_gate& quotas)
    : host_(&host),
      quotas_(&quotas),
      placement_(host.settings().name,
                 host.settings().zone,
                 Hash64(host.settings().name) ^
                     static_cast<std::uint64_t>(host.incarnation())) {}

asio::awaitable<void> request_handler::Handle(
    http_exchange& exchange,
    std::shared_ptr<request_state> request) {
  request->canceller = std::make_shared<call_canceller>();
  exchange.WatchPeer([request] {
    request->caller_left = true;
    request->canceller->Cancel();
  });
  co_await Serve(*request);
  if (request->is_trial && !request->may_have_run) {
    host_->crashes().CancelTrial(request->suspect);
  }
  LogOutcome(*request);
}

asio::awaitable<void> request_handler::Serve(request_state& request) {
  request.service = placement_.PickService(*request.route);
  while (true) {
    if (!MayReachServers(request)) {
      co_await Refuse(request,
                      error::Make(error_kind::quarantined,
                                  "servers crash under requests like this"));
      co_return;
    }
    const result<chosen_backend> place = co_await WaitForPlacement(request);
    if (request.caller_left) {
      request.outcome_label = "caller_left";
      request.exchange->Abort();
      co_return;
    }
    if (!place && place.error().kind() == error_kind::no_backend &&
        request.route->repeatable() && !request.tried.empty() &&
        !request.retrying_all) {
      // Every server has been tried; one that failed earlier may have
      // recovered.
      request.retrying_all = true;
      request.tried.clear();
      continue;
    }
    if (!place) {
      co_await Refuse(request, place.error());
      co_return;
    }
    if (co_await Attempt(request, *place) == next_step::finished) {
      co_return;
    }
  }
}

bool request_handler::MayReachServers(request_state& request) {
  const time_point now = host_->time().Now();
  for (const crash_verdict& verdict : host_->crashes().Decide(now)) {
    crash_log_.Warning(
        "Requests that crash servers are refused.",
        {{"fingerprint", verdict.fingerprint}, {"request", request.caller.id}});
    host_->metrics().Counter("cardamomyard_crash_verdicts_total").Add();
    host_->digests().NotifyChanged();
  }
  const crash_admission admission =
      host_->crashes().Admit(request.suspect, now);
  if (admission == crash_admission::trial) {
    request.is_trial = true;
    crash_log_.Info("A request tries whether servers still crash.",
                    {{"request", request.caller.id},
                     {"parts", Join(request.caller.prompt_parts)}});
    host_->digests().NotifyChanged();
  }
  if (admission == crash_admission::refuse) {
    crash_log_.Info("A request is refused because servers crash under it.",
                    {{"request", request.caller.id},
                     {"parts", Join(request.caller.prompt_parts)}});
  }
  return admission != crash_admission::refuse;
}

asio::awaitable<result<chosen_backend>> request_handler::WaitForPlacement(
    request_state& request) {
  const auto objective = request.route->latency_objective;
  std::vector<std::string> hosts{host_->settings().name};
  for (const peer_state* peer :
       host_->peers().LivePeers(host_role::gateway, host_->time().Now())) {
    hosts.push_back(peer->host.name);
  }
  placement_.SetHosts(std::move(hosts));
  const std::chrono::milliseconds max_queue_wait =
      Scale(objective, kMaxQueueWaitShare);
  const time_point give_up = std::min(
      request.deadline, host_->time().Now() + objective / kSlotWaitDivisor);
  while (true) {
    const time_point now = host_->time().Now();
    if (now + kDeadlineMargin >= request.deadline) {
      co_return Fail(
          error::Make(request.may_have_run ? error_kind::timeout
                                           : error_kind::overloaded,
                      "no server had a free slot before the deadline")
              .WithRetryAfter(std::chrono::milliseconds(0)));
    }
    placement chosen = placement_.Choose(host_->pool(), request.service,
                                         request.tried, max_queue_wait, now);
    if (auto* place = std::get_if<chosen_backend>(&chosen)) {
      co_return std::move(*place);
    }
    if (std::holds_alternative<no_usable_backend>(chosen) || now >= give_up ||
        request.caller_left) {
      const auto* all_full = std::get_if<all_backends_busy>(&chosen);
      const auto wait = all_full != nullptr ? all_full->expected_wait
                                            : std::chrono::milliseconds(0);
      co_return Fail(
          error::Make(all_full != nullptr ? error_kind::overloaded
                                          : error_kind::no_backend,
                      all_full != nullptr
                          ? "all servers of the service are full"
                          : "no server of the service is available")
              .WithRetryAfter(placement_.RetryAfter(wait, max_queue_wait)));
    }
    co_await SleepFor(kPlacementPollInterval);
  }
}

std::chrono::milliseconds request_handler::HeadTimeout(
    const request_state& request,
    std::chrono::milliseconds expected_wait) const {
  const auto remaining = ToMilliseconds(request.deadline - host_->time().Now());
  const bool can_move = request.route->repeatable() &&
                        request.attempts < request.route->max_attempts;
  if (!can_move) {
    return remaining;
  }
  return std::min(
      remaining,
      expected_wait +
          std::max(kMinHeadTimeout,
                   Scale(request.route->latency_objective, kHeadTimeoutShare)));
}

time_point request_handler::EventDeadline(const request_state& request,
                                          time_point last_event) const {
  const bool can_move = request.route->repeatable() &&
                        request.attempts < request.route->max_attempts;
  if (!can_move) {
    return request.deadline;
  }
  // No longer limit is needed for the first event, as it arrives with the head.
  const auto limit =
      std::max(kMinEventTimeout,
               Scale(request.route->pause_objective, kEventTimeoutShare));
  return std::min<time_point>(request.deadline, last_event + limit);
}

asio::awaitable<request_handler::next_step> request_handler::Attempt(
    request_state& request,
    const chosen_backend& place) {
  const backend_entry& backend = place.server.entry;
  const std::chrono::milliseconds expected_wait = place.expected_wait;
  forward_fields fields;
  fields.backend = backend.id;
  fields.account = request.account;
  fields.time_left = ToMilliseconds(request.deadline - host_->time().Now());
  fields.last_event =
      request.last_event ? request.last_event : request.caller.last_event;
  http_request message = host_->codec().MakeBackendRequest(
      request.exchange->request(), request.body, fields);
  call_options options;
  options.connect_timeout = std::min(kConnectTimeout, *fields.time_left);
  options.reuse_connection = true;
  options.resend_on_stale = request.route->repeatable();
  options.canceller = request.canceller;
  const std::function<answer_origin(const header_list&)> origin_of =
      [&](const header_list& headers) {
        return host_->codec().OriginOf(headers, request.caller.id);
      };
  options.origin_of = &origin_of;
  options.request_name = request.caller.id;
  bool written = false;
  const std::function<bool()> may_send = [&] {
    written = !request.caller_left;
    return written;
  };
  options.may_send = &may_send;

  request.tried.insert(backend.id);
  request.server_list += (request.server_list.empty() ? "" : ",") + backend.id;
  const load_scope load(*host_, backend.id);
  const time_point attempt_started = host_->time().Now();
  ++request.attempts;
  request.attempt_events = 0;
  log_.Info(
      "A request goes to a server.",
      {{"request", request.caller.id},
       {"route", request.route->name},
       {"account", request.account},
       {"backend", backend.id},
       {"attempt", request.attempts},
       {"online", place.server.online},
       {"batch", place.server.batch},
       {"slots", backend.slots},
       {"avoided", place.server.in_backoff ? "yes" : "no"},
       {"load_age_ms", host_->peers().OldestDigestAge(attempt_started).count()},
       {"expected_wait_ms", expected_wait.count()},
       {"left_ms", fields.time_left->count()},
       {"configuration", request.configuration->version()}});
  options.head_timeout = HeadTimeout(request, expected_wait);
  auto call =
      co_await host_->http().Open(backend.address, std::move(message), options);
  if (request.caller_left) {
    request.outcome_label = "caller_left";
    request.exchange->Abort();
    co_return next_step::finished;
  }
  if (!call) {
    const error& cause = call.error();
    if (!written || cause.ran() == outcome::not_run) {
      --request.attempts;
      host_->pool().RecordFailure(backend.id, host_->time().Now());
      log_.Warning("A server cannot be reached.",
                   {{"request", request.caller.id},
                    {"backend", backend.id},
                    {"expected_wait_ms", expected_wait.count()},
                    {"reason", cause.message()}});
      if (request.tried.size() < kMaxTriedServers) {
        co_return next_step::retry;
      }
      co_await Refuse(request, error::Make(error_kind::no_backend,
                                           "no server can be reached"));
      co_return next_step::finished;
    }
    co_return co_await HandleBrokenAttempt(request, backend, cause);
  }

  const next_step next = co_await HandleResponse(request, backend, **call);
  if (next == next_step::finished && request.status == 200) {
    placement_.ObserveServiceTime(
        request.service, ToMilliseconds(host_->time().Now() - attempt_started));
  }
  co_return next;
}

asio::awaitable<request_handler::next_step> request_handler::HandleResponse(
    request_state& request,
    const backend_entry& backend,
    http_call& call) {
  const backend_response_head head =
      host_->codec().ParseResponseHead(call.status(), call.headers());
  if (!head.executed) {
    // Read to the end, so that the connection can be reused.
    call.LimitReads(std::min<duration>(request.deadline - host_->time().Now(),
                                       kRefusalBodyTimeout));
    const auto rest = co_await call.ReadAll(kMaxBufferedResponseBytes);
    if (head.misdirected || !rest) {
      host_->pool().RecordFailure(backend.id, host_->time().Now());
    } else {
      host_->pool().RecordOverload(backend.id, host_->time().Now());
    }
    log_.Info("A server refused a request.", {{"request", request.caller.id},
                                              {"backend", backend.id},
                                              {"status", head.status},
                                              {"attempt", request.attempts}});
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
               {"backend", backend.id},
               {"status", head.status}});
    co_return next_step::retry;
  }
  if (request.route->kind == route_kind::streaming && head.status == 200 &&
      head.may_be_stream) {
    co_return co_await RelayStream(request, backend, call);
  }
  if (request.head_sent) {
    co_return co_await HandleBrokenAttempt(
        request, backend,
        error::Make(error_kind::backend_failed,
                    "status " + std::to_string(head.status) +
                        " does not go on with the stream"));
  }
  call.LimitReads(request.deadline - host_->time().Now());
  co_return co_await RelayBuffered(request, backend, call);
}

asio::awaitable<request_handler::next_step> request_handler::RelayBuffered(
    request_state& request,
    const backend_entry& backend,
    http_call& call) {
  result<std::string> body = co_await call.ReadAll(kMaxBufferedResponseBytes);
  if (!body) {
    co_return co_await HandleBrokenAttempt(request, backend, body.error());
  }
  host_->pool().RecordSuccess(backend.id);
  RecordCompletion(request, call);
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
    const backend_entry& backend,
    http_call& call) {
  event_reader reader;
  error cause =
      error::Make(error_kind::backend_failed, "the stream ended early");
  // Whether the answer is known to go on where the caller's stream broke off.
  bool resumed = !request.head_sent;
  // Bytes that complete no event, and comments, are no progress: a stalled
  // server may send them for ever.
  time_point last_progress = host_->time().Now();
  while (true) {
    const time_point deadline = EventDeadline(request, last_progress);
    const time_point now = host_->time().Now();
    if (now >= deadline) {
      cause = error::Make(error_kind::timeout,
                          deadline == request.deadline
                              ? "the deadline has passed"
                              : "the stream makes no progress");
      break;
    }
    call.LimitReads(deadline - now);
    result<std::string> chunk = co_await call.ReadSome();
    if (request.caller_left) {
      request.outcome_label = "caller_left";
      request.exchange->Abort();
      co_return next_step::finished;
    }
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
    std::string events;
    bool out_of_order = false;
    bool unrelated = false;
    bool progressed = false;
    for (const stream_event& event : reader.Feed(*chunk)) {
      out_of_order = event.id && !Continues(request, *event.id);
      unrelated = !resumed && !MayResumeStream(event);
      if (out_of_order || unrelated) {
        break;
      }
      resumed |= event.id.has_value();
      events += event.raw;
      if (event.id) {
        request.last_event = event.id;
        ++request.attempt_events;
      }
      progressed |= IsProgress(event);
    }
    if (!request.head_sent && (ended || !events.empty())) {
      const result<void> started = co_await request.exchange->StartStream(
          call.status(), host_->codec().FilterResponseHeaders(call.headers()));
      request.head_sent = true;
      request.status = call.status();
      request.first_byte = host_->time().Now();
      if (!started) {
        request.caller_left = true;
      }
    }
    if (!request.caller_left && !events.empty()) {
      const result<void> written =
          co_await request.exchange->Write(std::move(events));
      request.caller_left |= !written;
    }
    if (request.caller_left) {
      request.outcome_label = "caller_left";
      request.exchange->Abort();
      co_return next_step::finished;
    }
    if (progressed) {
      // After the write, as a slow caller is not the server's fault.
      last_progress = host_->time().Now();
    }
    if (out_of_order || unrelated || reader.too_large()) {
      cause = error::Make(error_kind::backend_failed,
                          out_of_order ? "an event repeats an earlier id"
                          : unrelated  ? "the answer does not resume the stream"
                                       : "an event has no end");
      break;
    }
    if (ended) {
      host_->pool().RecordSuccess(backend.id);
      RecordCompletion(request, call);
      co_await request.exchange->Finish();
      request.outcome_label = "answered";
      co_return next_step::finished;
    }
  }
  call.Cancel();
  co_return co_await HandleBrokenAttempt(request, backend, cause);
}

void request_handler::RecordCompletion(const request_state& request,
                                       const http_call& call) {
  // An answer without length may have ended with a crash of its server.
  const bool is_whole =
      !call.ends_with_connection() || request.attempt_events > kSuspectEvents;
  if (call.status() < 300 && is_whole) {
    host_->crashes().RecordCompletion(request.suspect, host_->time().Now());
  }
}

asio::awaitable<request_handler::next_step>
request_handler::HandleBrokenAttempt(request_state& request,
                                     const backend_entry& backend,
                                     const error& cause) {
  const time_point now = host_->time().Now();
  request.may_have_run = true;
  const bool out_of_time = now + kDeadlineMargin >= request.deadline;
  if (!out_of_time) {
    host_->pool().RecordFailure(backend.id, now);
    if (cause.kind() != error_kind::timeout &&
        request.attempt_events <= kSuspectEvents) {
      host_->RecordBreak(backend, request.suspect);
    }
  }
  const bool can_move = request.route->repeatable() &&
                        request.attempts < request.route->max_attempts &&
                        !out_of_time && !request.caller_left;
  log_.Warning(
      "A server broke off a request.",
      {{"request", request.caller.id},
       {"backend", backend.id},
       {"attempt", request.attempts},
       {"last_event", request.last_event.value_or(-1)},
       {"attempt_events", request.attempt_events},
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

asio::awaitable<void> request_handler::Refuse(request_state& request,
                                              error cause) {
  if (request.head_sent) {
    request.outcome_label = "cut";
    request.exchange->Abort();
    co_return;
  }
  // An error with the outcome not_run promises that the request has not run.
  if (request.may_have_run && cause.ran() == outcome::not_run) {
    cause = error::Make(error_kind::backend_failed, cause.message());
  }
  if (cause.ran() == outcome::not_run && request.quota_charged) {
    quotas_->Refund(request.account);
    request.quota_charged = false;
  }
  http_response response =
      host_->codec().MakeErrorResponse(cause, request.caller.id);
  request.status = response.status;
  request.outcome_label = ToString(cause.kind());
  co_await request.exchange->Send(std::move(response));
}

void request_handler::LogOutcome(const request_state& request) {
  const time_point now = host_->time().Now();
  const auto total_time = ToMilliseconds(now - request.arrived);
  const auto first_byte_delay =
      request.first_byte ? ToMilliseconds(*request.first_byte - request.arrived)
                         : std::chrono::milliseconds(-1);
  const auto store_age = host_->current_inventory().store_age();
  log_.Info(
      "An online request ended.",
      {{"request", request.caller.id},
       {"route", request.route->name},
       {"account", request.account},
       {"service", request.service},
       {"servers", request.server_list},
       {"attempts", request.attempts},
       {"status", request.status},
       {"outcome", request.outcome_label},
       {"limit_ms", ToMilliseconds(request.deadline - request.arrived).count()},
       {"first_ms", first_byte_delay.count()},
       {"total_ms", total_time.count()},
       {"configuration", request.configuration->version()},
       {"store_age_ms", store_age ? store_age->count() : -1}});
  metrics_registry& metrics = host_->metrics();
  metrics
      .Counter("cardamomyard_requests_total",
               {{"outcome", request.outcome_label}})
      .Add();
  const metric_labels labels{{"route", request.route->name}};
  metrics.Histogram("cardamomyard_request_seconds", labels).Observe(total_time);
  if (request.first_byte) {
    metrics.Histogram("cardamomyard_first_byte_seconds", labels)
        .Observe(first_byte_delay);
  }
}

}  // namespace cardamomyard
