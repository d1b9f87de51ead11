#include "src/node/sidecar/online_handler.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/node/answer_relay.h"
#include "src/node/internal_api.h"
#include "src/node/suspect_codec.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr std::chrono::milliseconds kDefaultDeadline{60'000};
constexpr std::chrono::milliseconds kBackendConnectTimeout{500};

std::uint64_t HeaderNumber(const http_request& request,
                           std::string_view name,
                           std::uint64_t otherwise) {
  const std::string text = request.headers.Get(name).value_or("");
  std::uint64_t number = 0;
  const auto [end, status] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return status == std::errc() && end == text.data() + text.size() ? number
                                                                   : otherwise;
}

double HeaderWeight(const http_request& request) {
  const std::string text =
      request.headers.Get(internal_api::kWeight).value_or("1");
  double weight = 1;
  std::from_chars(text.data(), text.data() + text.size(), weight);
  return std::clamp(weight, 0.01, 1000.0);
}

/// \returns the request for the backend server: without internal and
/// connection-specific headers.
http_request BackendRequest(const http_request& request) {
  http_request stripped = request;
  for (const http_header& field : request.headers.all()) {
    if (IsInternalHeader(field.name) || SameHeaderName(field.name, "Host") ||
        SameHeaderName(field.name, "Connection") ||
        SameHeaderName(field.name, "Content-Length")) {
      stripped.headers.Remove(field.name);
    }
  }
  return stripped;
}

}  // namespace

struct online_handler::forwarded {
  http_request request;
  std::string request_id_text;
  std::string exchange_id;
  online_request admission;
  request_fingerprint fingerprint = 0;
  std::chrono::milliseconds budget{0};
};

online_handler::online_handler(process_context& context,
                               const sidecar_settings& settings,
                               admission_gate& gate,
                               backend_monitor& monitor,
                               std::function<std::optional<error>()> ready,
                               std::function<std::string()> leaving)
    : context_(&context),
      settings_(&settings),
      gate_(&gate),
      monitor_(&monitor),
      ready_(std::move(ready)),
      leaving_(std::move(leaving)) {}

asio::awaitable<void> online_handler::Handle(http_exchange& exchange,
                                             http_request request) {
  forwarded call;
  call.request_id_text =
      request.headers.Get(internal_api::kRequestId).value_or("");
  call.exchange_id =
      request.headers.Get(internal_api::kExchangeId).value_or("");
  call.budget = std::chrono::milliseconds(
      HeaderNumber(request, internal_api::kDeadlineMs,
                   static_cast<std::uint64_t>(kDefaultDeadline.count())));
  call.fingerprint = HeaderNumber(request, internal_api::kFingerprint, 0);
  call.admission.account =
      request.headers.Get(internal_api::kAccount).value_or("");
  call.admission.weight = HeaderWeight(request);
  call.admission.isolated = request.headers.Get(internal_api::kIsolated) == "1";
  call.admission.deadline = context_->time().Now() + call.budget;

  span_record span;
  const auto parent = trace_context::Parse(
      request.headers.Get(internal_api::kTraceparent).value_or(""));
  span.context = parent ? parent->Child() : trace_context::New();
  span.parent_span_id = parent ? parent->span_id : "";
  span.name = "sidecar " + request.target.substr(0, request.target.find('?'));
  span.start = context_->time().WallNow();
  span.attributes["request_id"] = call.request_id_text;
  request.headers.Set(internal_api::kTraceparent, span.context.ToHeader());
  call.request = std::move(request);

  const std::string request_id_text = call.request_id_text;
  const std::string exchange_id = call.exchange_id;
  const request_fingerprint fingerprint = call.fingerprint;
  std::optional<error> failure = ready_();
  if (!failure) {
    failure = co_await Run(exchange, std::move(call));
  }
  if (failure && !exchange.answer_started()) {
    http_response refusal = ErrorResponse(*failure, request_id_text);
    refusal.headers.Set(internal_api::kExchangeId, exchange_id);
    refusal.headers.Set(internal_api::kRefusal, "1");
    if (std::string leaving = leaving_(); !leaving.empty()) {
      refusal.headers.Set(internal_api::kLeaving, std::move(leaving));
    }
    if (const auto suspect = monitor_->FindSuspect(fingerprint)) {
      refusal.headers.Set(internal_api::kSuspect, ToHeader(*suspect));
    }
    co_await exchange.Send(std::move(refusal));
  }
  if (failure) {
    span.failed = true;
    span.attributes["error"] = std::string(ToString(failure->kind()));
  }
  span.end = context_->time().WallNow();
  context_->spans().Write(span);
}

asio::awaitable<std::optional<error>> online_handler::Run(
    http_exchange& exchange,
    forwarded call) {
  const time_point arrived = context_->time().Now();
  online_request admission = call.admission;
  result<slot> admitted = co_await gate_->Admit(std::move(admission));
  if (!admitted) {
    co_return admitted.error();
  }
  context_->metrics()
      .Summary("cardamomyard_admission_wait_seconds")
      .Observe(std::chrono::duration<double>(context_->time().Now() - arrived)
                   .count());
  const request_id id = admitted->id();
  monitor_->RequestStarted(id, call.fingerprint, call.admission.isolated);
  call_options options;
  options.connect_timeout = kBackendConnectTimeout;
  options.head_timeout = call.budget;
  options.idle_timeout = call.budget;
  options.body_timeout = call.budget;
  http_request to_backend = BackendRequest(call.request);
  auto opened = co_await context_->http().Open(settings_->backend,
                                               std::move(to_backend), options);
  std::optional<error> failure;
  if (!opened) {
    failure = opened.error();
    if (failure->ran() == outcome::not_run) {
      failure = error::Make(error_kind::no_backend, failure->message());
    }
  } else {
    relay_options relay;
    relay.request_id = call.request_id_text;
    relay.exchange_id = call.exchange_id;
    relay.leaving = leaving_;
    relay.event_timeout = call.budget;
    relay_report report =
        co_await RelayAnswer(**opened, exchange, std::move(relay));
    failure = report.failure;
  }
  const bool cut_by_backend = failure &&
                              failure->ran() == outcome::may_have_run &&
                              failure->kind() == error_kind::backend_failed;
  if (cut_by_backend) {
    // The request must still count as running when the crash is recorded.
    co_await monitor_->ConfirmCrash();
  } else if (call.admission.isolated && !failure) {
    monitor_->ClearSuspect(call.fingerprint);
  }
  monitor_->RequestEnded(id);
  co_return failure;
}

}  // namespace cardamomyard
