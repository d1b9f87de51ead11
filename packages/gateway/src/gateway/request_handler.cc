#include "src/gateway/request_handler.h"

#include <algorithm>
#include <utility>

#include "src/gateway/request_limits.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

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
// While no other server takes a request from a silent one, it is tried again
// after this time.
constexpr std::chrono::milliseconds kMoveRetryInterval{50};
// A server that was sent a request and has not refused it within this time is
// taken for running it, and the silent server before it must stop.
constexpr std::chrono::milliseconds kTakeOverTime{300};
// For a connection attempt to end after its timeout.
constexpr std::chrono::milliseconds kConnectMargin{50};
// A request waits for a slot for the latency objective divided by this number.
// A later refusal would leave the caller less time to retry.
constexpr int kSlotWaitDivisor = 6;
constexpr std::chrono::milliseconds kPlacementPollInterval{12};
// Listing the live gateways for each request costs time in proportion to their
// number, so the list is kept for this long for each peer.
constexpr std::chrono::microseconds kHostRefreshPerPeer{100};
// The time between two events is measured over at least this many.
constexpr int kMinEventsForSpeed = 5;
// Share of the latency objective that a request may spend in a server's queue.
constexpr double kMaxQueueWaitShare = 0.7;
// A request is refused when a server cannot be reached and this many have been
// tried.
constexpr std::size_t kMaxTriedServers = 5;

std::chrono::milliseconds Scale(std::chrono::milliseconds time, double share) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

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
  exchange.WatchPeer([request] { request->Leave(); });
  request->stop = stop_;
  request->UpdateDeadline();
  running_.insert(request);
  co_await Serve(*request);
  running_.erase(request);
  CountStopped(*request);
  if (request->is_trial && !request->may_have_run) {
    host_->crashes().CancelTrial(request->suspect);
  }
  LogOutcome(*request);
}

void request_handler::BeginStop(const stop_schedule& schedule) {
  stop_ = schedule;
  for (const auto& request : running_) {
    request->LimitTo(schedule);
  }
}

void request_handler::CountStopped(const request_state& request) {
  if (!request.ends_with_stop() || request.caller_left ||
      host_->time().Now() + kDeadlineMargin < request.deadline) {
    return;
  }
  if (request.head_sent && request.outcome_label == "cut") {
    ++stopped_.cut;
  } else if (request.outcome_label != "answered") {
    ++stopped_.ended;
  }
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
    request.attempt = co_await StartAttempt(request, *place);
    next_step next = next_step::moved;
    while (next == next_step::moved) {
      next = co_await FollowAttempt(request);
    }
    request.attempt->Cancel();
    if (next == next_step::finished) {
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
  RefreshHosts();
  const std::chrono::milliseconds max_queue_wait =
      Scale(objective, kMaxQueueWaitShare);
  const time_point give_up =
      MustGoOn(request)
          ? request.deadline
          : std::min(request.deadline,
                     host_->time().Now() + objective / kSlotWaitDivisor);
  while (true) {
    const time_point now = host_->time().Now();
    if (now + kDeadlineMargin >= request.deadline) {
      const error_kind not_run = request.ends_with_stop()
                                     ? error_kind::draining
                                     : error_kind::overloaded;
      co_return Fail(
          error::Make(request.may_have_run ? error_kind::timeout : not_run,
                      "no server had a free slot before the deadline")
              .WithRetryAfter(std::chrono::milliseconds(0)));
    }
    placement chosen =
        placement_.Choose(host_->pool(), request.service, request.tried,
                          max_queue_wait, now, RulesOf(request));
    if (auto* place = std::get_if<chosen_backend>(&chosen)) {
      co_return std::move(*place);
    }
    if (std::holds_alternative<no_usable_backend>(chosen) &&
        MustGoOn(request) && !request.caller_left) {
      // Servers that refused or failed may take the rest of the response now,
      // and others may come.
      request.tried.clear();
      co_await SleepFor(kMoveRetryInterval);
      continue;
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

placement_rules request_handler::RulesOf(const request_state& request) const {
  // The configuration of the check before the request is written.
  const auto configuration = host_->current_inventory().configuration();
  return {request.zones ? &*request.zones : nullptr, host_->cold_limit(),
          configuration->ColdRate(request.service)};
}

void request_handler::RefreshHosts() {
  const time_point now = host_->time().Now();
  if (now < hosts_due_) {
    return;
  }
  hosts_due_ = now + kHostRefreshPerPeer *
                         static_cast<int>(host_->peers().peers().size());
  std::vector<std::string> hosts{host_->settings().name};
  for (const peer_state* peer :
       host_->peers().LivePeers(host_role::gateway, now)) {
    hosts.push_back(peer->host.name);
  }
  placement_.SetHosts(std::move(hosts));
  placement_.SetReportAge(host_->peers().ReportAge(now));
}

bool request_handler::MustGoOn(const request_state& request) const {
  return request.route->repeatable() &&
         (request.head_sent || request.may_have_run);
}

bool request_handler::CanMove(const request_state& request) const {
  return request.route->repeatable() && !request.has_unnumbered_events &&
         request.attempts < request.route->max_attempts &&
         host_->time().Now() + kDeadlineMargin < request.deadline;
}

time_point request_handler::HeadDeadline(const request_state& request,
                                         const server_attempt& attempt) const {
  if (!CanMove(request)) {
    return request.deadline;
  }
  const auto limit =
      std::max(kMinHeadTimeout,
               Scale(request.route->latency_objective, kHeadTimeoutShare));
  return std::min<time_point>(
      request.deadline,
      std::max<time_point>(
          attempt.next_move,
          attempt.started() + attempt.expected_wait() + limit));
}

time_point request_handler::EventDeadline(const request_state& request,
                                          const server_attempt& attempt,
                                          time_point last_event) const {
  if (!CanMove(request)) {
    return request.deadline;
  }
  // No longer limit is needed for the first event, as it arrives with the head.
  const auto limit =
      std::max(kMinEventTimeout,
               Scale(request.route->pause_objective, kEventTimeoutShare));
  return std::min<time_point>(
      request.deadline,
      std::max<time_point>(attempt.next_move, last_event + limit));
}

asio::awaitable<std::shared_ptr<server_attempt>> request_handler::StartAttempt(
    request_state& request,
    chosen_backend place) {
  const backend_status server = place.server;
  const backend_entry& backend = server.entry;
  const time_point now = host_->time().Now();
  forward_fields fields;
  fields.backend = backend.id;
  fields.account = request.account;
  fields.time_left = ToMilliseconds(request.deadline - now);
  fields.last_event =
      request.last_event ? request.last_event : request.caller.last_event;
  http_request message = host_->codec().MakeBackendRequest(
      request.exchange->request(), request.body, fields);
  call_options options;
  options.connect_timeout = std::min(kConnectTimeout, *fields.time_left);
  options.head_timeout = *fields.time_left;
  options.idle_timeout = *fields.time_left;
  options.reuse_connection = true;
  options.resend_on_stale = request.route->repeatable();
  options.request_name = request.caller.id;

  request.tried.insert(backend.id);
  request.server_list += (request.server_list.empty() ? "" : ",") + backend.id;
  ++request.attempts;
  log_.Info("A request goes to a server.",
            {{"request", request.caller.id},
             {"route", request.route->name},
             {"account", request.account},
             {"backend", backend.id},
             {"attempt", request.attempts},
             {"online", server.online},
             {"batch", server.batch},
             {"slots", backend.slots},
             {"avoided", server.in_backoff ? "yes" : "no"},
             {"load_age_ms", host_->peers().OldestDigestAge(now).count()},
             {"expected_wait_ms", place.expected_wait.count()},
             {"left_ms", fields.time_left->count()},
             {"configuration", request.configuration->version()}});
  const auto executor = co_await asio::this_coro::executor;
  co_return server_attempt::Start(
      *host_, executor, std::move(place), std::move(message),
      std::move(options),
      [codec = &host_->codec(), id = request.caller.id](
          const header_list& headers) { return codec->OriginOf(headers, id); });
}

asio::awaitable<request_handler::next_step> request_handler::FollowAttempt(
    request_state& request) {
  const std::shared_ptr<server_attempt> attempt = request.attempt;
  while (!co_await attempt->WaitForHead(HeadDeadline(request, *attempt))) {
    const time_point now = host_->time().Now();
    if (now >= request.deadline && !request.caller_left) {
      co_return co_await EndUnanswered(request, *attempt);
    }
    if (now >= HeadDeadline(request, *attempt) && CanMove(request) &&
        co_await MoveFromSilentServer(request)) {
      co_return next_step::moved;
    }
  }
  if (request.caller_left) {
    request.outcome_label = "caller_left";
    request.exchange->Abort();
    co_return next_step::finished;
  }
  if (!attempt->response()) {
    if (attempt->response().error().kind() == error_kind::invalid_request) {
      co_await Refuse(request, attempt->response().error());
      co_return next_step::finished;
    }
    if (!attempt->unreachable()) {
      co_return co_await HandleBrokenAttempt(request, *attempt,
                                             attempt->response().error());
    }
    RecordUnreachable(request, *attempt);
    if (!attempt->admitted()) {
      co_await SleepFor(kPlacementPollInterval);
    }
    if (request.tried.size() < kMaxTriedServers || MustGoOn(request)) {
      co_return next_step::retry;
    }
    co_await Refuse(request, error::Make(error_kind::no_backend,
                                         "no server can be reached"));
    co_return next_step::finished;
  }
  const next_step next = co_await HandleResponse(request, *attempt);
  if (next == next_step::finished && request.status == 200) {
    placement_.ObserveServiceTime(
        request.service,
        ToMilliseconds(host_->time().Now() - attempt->started()));
    ObserveSpeed(request, *attempt);
  }
  co_return next;
}

void request_handler::ObserveSpeed(const request_state& request,
                                   const server_attempt& attempt) {
  if (request.outcome_label != "answered" || !attempt.last_event) {
    return;
  }
  // Not until now, as a slow caller is not the server's fault.
  const time_point end = *attempt.last_event;
  const backend_entry& backend = attempt.backend();
  const server_speeds::server from{backend.id, backend.started_unix_ms,
                                   backend.service};
  if (request.route->kind != route_kind::streaming) {
    host_->speeds().Observe(from, end - attempt.started(), end);
  } else if (attempt.first_event && attempt.events >= kMinEventsForSpeed) {
    host_->speeds().Observe(
        from, (end - *attempt.first_event) / (attempt.events - 1), end);
  }
}

asio::awaitable<request_handler::next_step> request_handler::EndUnanswered(
    request_state& request,
    server_attempt& attempt) {
  const bool was_sent = attempt.written().has_value();
  attempt.Cancel();
  if (was_sent) {
    co_return co_await HandleBrokenAttempt(
        request, attempt,
        error::Make(error_kind::timeout, "the deadline has passed"));
  }
  const error_kind not_run =
      request.ends_with_stop() ? error_kind::draining : error_kind::overloaded;
  co_await Refuse(
      request, error::Make(request.may_have_run ? error_kind::timeout : not_run,
                           "no server took the request before the deadline")
                   .WithRetryAfter(std::chrono::milliseconds(0)));
  co_return next_step::finished;
}

void request_handler::RecordUnreachable(request_state& request,
                                        server_attempt& attempt) {
  --request.attempts;
  if (!attempt.admitted() || !host_->MaySend(attempt.backend())) {
    // The server left, its zone is evacuated or its limit was used up after it
    // was chosen. It does not count as tried, and is not chosen while that
    // holds.
    host_->UpdateBackends();
    request.tried.erase(attempt.backend().id);
  } else {
    host_->pool().RecordFailure(attempt.backend().id, host_->time().Now());
  }
  log_.Warning("A server cannot be reached.",
               {{"request", request.caller.id},
                {"backend", attempt.backend().id},
                {"expected_wait_ms", attempt.expected_wait().count()},
                {"reason", attempt.response().error().message()}});
}

asio::awaitable<bool> request_handler::MoveFromSilentServer(
    request_state& request) {
  const std::shared_ptr<server_attempt> silent = request.attempt;
  if (!silent->silence_reported) {
    silent->silence_reported = true;
    host_->pool().RecordFailure(silent->backend().id, host_->time().Now());
  }
  if (request.tried.size() >= kMaxTriedServers) {
    request.tried = {silent->backend().id};
  }
  while (CanMove(request) && request.tried.size() < kMaxTriedServers) {
    placement chosen = placement_.Choose(
        host_->pool(), request.service, request.tried,
        Scale(request.route->latency_objective, kMaxQueueWaitShare),
        host_->time().Now(), RulesOf(request));
    auto* place = std::get_if<chosen_backend>(&chosen);
    if (place == nullptr) {
      if (std::holds_alternative<no_usable_backend>(chosen)) {
        // Servers that refused it may take it the next time.
        request.tried = {silent->backend().id};
      }
      break;
    }
    if (!MayReachServers(request)) {
      silent->next_move = request.deadline;
      co_return false;
    }
    request.successor = co_await StartAttempt(request, std::move(*place));
    const bool has_ended = co_await AwaitSuccessor(request);
    const std::shared_ptr<server_attempt> successor =
        std::exchange(request.successor, nullptr);
    if (!has_ended || request.caller_left) {
      co_return false;
    }
    if (successor->unreachable()) {
      RecordUnreachable(request, *successor);
      if (!successor->admitted()) {
        co_await SleepFor(kPlacementPollInterval);
      }
      continue;
    }
    if (IsRefusal(*successor)) {
      co_await RecordRefusal(request, *successor);
      successor->Cancel();
      if (!MustGoOn(request)) {
        --request.attempts;  // No server ran it there.
      }
      if (request.caller_left) {
        co_return false;
      }
      continue;
    }
    log_.Info("A request leaves a silent server.",
              {{"request", request.caller.id},
               {"backend", silent->backend().id},
               {"successor", successor->backend().id},
               {"last_event", request.last_event.value_or(-1)},
               {"answered", successor->has_response() ? "yes" : "no"}});
    silent->Cancel();
    request.may_have_run = true;
    request.attempt = successor;
    co_return true;
  }
  silent->next_move = host_->time().Now() + kMoveRetryInterval;
  co_return false;
}

asio::awaitable<bool> request_handler::AwaitSuccessor(request_state& request) {
  const std::shared_ptr<server_attempt> silent = request.attempt;
  const std::shared_ptr<server_attempt> successor = request.successor;
  const bool had_head = silent->has_response();
  silent->WakeWithNews(successor);
  while (true) {
    const bool has_gone_on =
        had_head ? silent->has_piece() : silent->has_response();
    if (has_gone_on && !silent->failed()) {
      if (successor->written()) {
        request.may_have_run = true;
      } else {
        --request.attempts;
      }
      successor->Cancel();
      co_return false;
    }
    const time_point limit =
        successor->written()
            ? *successor->written() + kTakeOverTime
            : successor->started() + kConnectTimeout + kConnectMargin;
    if (co_await successor->WaitForHead(limit)) {
      co_return true;
    }
    if (successor->written() &&
        host_->time().Now() >= *successor->written() + kTakeOverTime) {
      co_return true;
    }
  }
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
