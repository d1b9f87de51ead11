#include "src/node/entry/forwarder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <utility>

#include "src/node/internal_api.h"
#include "src/node/suspect_codec.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr std::chrono::milliseconds kSidecarConnectTimeout{500};
constexpr std::size_t kMaxErrorBytes = 64 * 1024;
constexpr std::size_t kExchangeIdBytes = 8;
constexpr std::chrono::hours kSuspectLifetime{1};
constexpr std::chrono::milliseconds kStopCheckInterval{500};

/// A call whose answer is awaited; used on one thread.
struct awaited_call {
  std::shared_ptr<call_canceller> canceller =
      std::make_shared<call_canceller>();
  bool waits = true;
  bool ended = false;  ///< Whether the stop has ended it.
};

asio::awaitable<void> EndCallAtStop(std::shared_ptr<awaited_call> call,
                                    std::function<bool()> must_end) {
  while (call->waits) {
    co_await SleepFor(kStopCheckInterval);
    if (call->waits && must_end()) {
      call->ended = true;
      call->canceller->Cancel();
      co_return;
    }
  }
}

http_request SidecarRequest(const forward_request& request,
                            std::chrono::milliseconds budget,
                            request_fingerprint fingerprint,
                            bool isolated,
                            const std::string& exchange_id) {
  http_request forwarded;
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.headers = request.headers;
  forwarded.body = request.body;
  header_list& headers = forwarded.headers;
  headers.Set(internal_api::kRequestId, request.request_id);
  headers.Set(internal_api::kTraceparent, request.trace.Child().ToHeader());
  headers.Set(internal_api::kAccount, request.account);
  headers.Set(internal_api::kWeight, std::to_string(request.weight));
  headers.Set(internal_api::kRepeatable, request.repeatable ? "1" : "0");
  headers.Set(internal_api::kDeadlineMs, std::to_string(budget.count()));
  headers.Set(internal_api::kFingerprint, std::to_string(fingerprint));
  headers.Set(internal_api::kIsolated, isolated ? "1" : "0");
  headers.Set(internal_api::kExchangeId, exchange_id);
  return forwarded;
}

}  // namespace

forwarder::forwarder(process_context& context,
                     backend_registry& backends,
                     suspect_registry& suspects,
                     stop_monitor& stop)
    : context_(&context),
      backends_(&backends),
      suspects_(&suspects),
      stop_(&stop),
      random_(static_cast<std::uint64_t>(context.incarnation())) {}

asio::awaitable<std::optional<error>> forwarder::Forward(
    http_exchange& exchange,
    forward_request request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const request_fingerprint fingerprint =
      Fingerprint(request.account, path, request.body);
  if (suspects_->HasQuarantinedPart(request.prompt_parts)) {
    co_return error::Make(
        error_kind::quarantined,
        "servers crash under requests with a part of this prompt");
  }
  const suspect_decision decision = suspects_->Decide(fingerprint);
  if (decision == suspect_decision::run_normally) {
    co_return co_await ForwardWithRetries(exchange, request, fingerprint,
                                          false);
  }
  if (decision == suspect_decision::refuse) {
    co_return error::Make(error_kind::quarantined,
                          "the request is known to crash backend servers");
  }
  auto claimed = co_await suspects_->Claim(fingerprint);
  if (!claimed) {
    co_return claimed.error();
  }
  if (!*claimed) {
    co_return co_await ForwardWithRetries(exchange, request, fingerprint,
                                          false);
  }
  std::optional<error> failure =
      co_await ForwardWithRetries(exchange, request, fingerprint, true);
  const bool survived =
      !failure || failure->kind() != error_kind::backend_failed;
  co_await suspects_->End(fingerprint, **claimed, survived);
  co_return failure;
}

asio::awaitable<std::optional<error>> forwarder::ForwardWithRetries(
    http_exchange& exchange,
    const forward_request& request,
    request_fingerprint fingerprint,
    bool isolated) {
  {
    const std::lock_guard lock(mutex_);
    budget_.AddRequest();
  }
  const time_point time_limit = context_->time().Now() + request.timeout;
  std::vector<std::string> excluded;
  for (int attempts = 1;; ++attempts) {
    const time_point deadline = stop_->Limit(time_limit);
    attempt_report report =
        co_await Attempt(exchange, request, excluded, deadline, isolated);
    if (!report.relay.failure) {
      suspects_->RecordPartCompletions(request.prompt_parts);
      co_return std::nullopt;
    }
    const error failure = *report.relay.failure;
    // Each request accuses its parts once; isolated runs repeat a request.
    if (!isolated && failure.kind() == error_kind::backend_failed &&
        suspects_->Decide(fingerprint) != suspect_decision::run_normally) {
      suspects_->RecordPartCrashes(request.prompt_parts);
    }
    if (report.relay.started) {
      // The error was already reported in the stream.
      co_return failure;
    }
    // A request that may have crashed a server is repeated only in isolation.
    const bool suspected =
        suspects_->Decide(fingerprint) != suspect_decision::run_normally;
    const bool may_repeat = request.repeatable && !isolated && !suspected;
    const std::optional<duration> wait = NextAttempt(
        {failure, may_repeat, 0, attempts, stop_->Limit(time_limit)});
    if (!wait) {
      co_return failure;
    }
    context_->metrics().Counter("cardamomyard_retries_total").Add();
    co_await SleepFor(*wait);
  }
}

std::optional<duration> forwarder::NextAttempt(const failed_attempt& attempt) {
  const std::lock_guard lock(mutex_);
  return policy_.NextAttempt(attempt, budget_, context_->time().Now(), random_);
}

asio::awaitable<result<std::unique_ptr<http_call>>> forwarder::OpenCall(
    host_address sidecar,
    http_request request,
    call_options options) {
  auto call = std::make_shared<awaited_call>();
  options.canceller = call->canceller;
  const auto executor = co_await asio::this_coro::executor;
  const auto must_end = [this] {
    return stop_->Check(context_->time().Now()).has_value();
  };
  asio::co_spawn(executor, EndCallAtStop(call, must_end), kEndOnException);
  auto opened = co_await context_->internal_http().Open(
      std::move(sidecar), std::move(request), std::move(options));
  call->waits = false;
  if (!opened && call->ended) {
    const outcome ran = opened.error().ran();
    co_return Fail(error::Make(
        ran == outcome::not_run ? error_kind::draining : error_kind::timeout,
        "this host stops"));
  }
  co_return opened;
}

asio::awaitable<forwarder::attempt_report> forwarder::Attempt(
    http_exchange& exchange,
    const forward_request& request,
    std::vector<std::string>& excluded,
    time_point deadline,
    bool isolated) {
  attempt_report report;
  auto choice =
      backends_->Choose(request.deployment, request.prefix_hash, excluded);
  if (!choice) {
    report.relay.failure = choice.error();
    co_return report;
  }
  report.backend = choice->id;
  const auto address = host_address::Parse(choice->address);
  const auto budget = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - context_->time().Now());
  if (!address || budget <= std::chrono::milliseconds::zero()) {
    backends_->Finished(request.deployment, choice->id);
    report.relay.failure = error::Make(error_kind::timeout,
                                       "the deadline passed before a server "
                                       "was reached")
                               .WithOutcome(outcome::not_run);
    co_return report;
  }
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string exchange_id = RandomHex(kExchangeIdBytes);
  http_request forwarded = SidecarRequest(
      request, budget, Fingerprint(request.account, path, request.body),
      isolated, exchange_id);
  context_->signer().Sign(forwarded);
  call_options options;
  options.connect_timeout = kSidecarConnectTimeout;
  // The sidecar answers at its deadline; the margin lets that answer arrive.
  options.head_timeout = budget + std::chrono::milliseconds(500);
  options.idle_timeout = options.head_timeout;
  options.body_timeout = options.head_timeout;
  auto opened = co_await OpenCall(*address, std::move(forwarded), options);
  const bool is_for_this_request =
      opened &&
      (*opened)->headers().Get(internal_api::kExchangeId) == exchange_id;
  if (is_for_this_request) {
    if (const auto incarnation =
            (*opened)->headers().Get(internal_api::kLeaving)) {
      backends_->OnLeaving(choice->id, *incarnation);
    }
  }
  if (!opened) {
    report.relay.failure = opened.error();
    if (opened.error().ran() == outcome::not_run &&
        opened.error().kind() != error_kind::draining) {
      report.relay.failure =
          error::Make(error_kind::no_backend, opened.error().message());
    }
  } else if (!is_for_this_request) {
    report.relay.failure = error::Make(error_kind::backend_failed,
                                       "the answer belongs to another request");
  } else if ((*opened)->status() >= 400 &&
             (*opened)->headers().Get(internal_api::kRefusal)) {
    if (const auto suspect = FromHeader(
            Fingerprint(request.account, path, request.body),
            (*opened)->headers().Get(internal_api::kSuspect).value_or(""),
            context_->time().WallNow() + kSuspectLifetime)) {
      suspects_->Merge({*suspect});
    }
    result<std::string> body = co_await (*opened)->ReadAll(kMaxErrorBytes);
    report.relay.failure =
        ParseErrorBody((*opened)->status(), body ? *body : std::string());
  } else {
    relay_options relay;
    relay.request_id = request.request_id;
    relay.event_timeout = options.idle_timeout;
    relay.check = request.check;
    relay.observe = request.observe;
    if (request.capture) {
      request.capture->Begin((*opened)->status(), (*opened)->headers());
      relay.observe = [capture = request.capture,
                       observe = request.observe](const std::string& piece) {
        capture->Add(piece);
        if (observe) {
          observe(piece);
        }
      };
      relay.observe_end = [capture = request.capture] { capture->End(); };
    }
    report.relay = co_await RelayAnswer(**opened, exchange, std::move(relay));
  }
  if (report.relay.failure) {
    excluded.push_back(choice->id);
  }
  backends_->Finished(request.deployment, choice->id);
  co_return report;
}

}  // namespace cardamomyard
