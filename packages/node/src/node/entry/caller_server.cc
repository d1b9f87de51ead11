#include "src/node/entry/caller_server.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/node/entry/inference_request.h"
#include "src/node/internal_api.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr std::size_t kMaxBodyBytes = 4U << 20U;
constexpr std::chrono::milliseconds kInferenceTimeout{600'000};

bool IsInferencePath(const std::string& path) {
  return path == "/v1/chat/completions" || path == "/v1/completions";
}

bool HasPrefix(const std::string& path, const std::string& prefix) {
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

/// \returns whether a header that would be forwarded contains a key.
bool ForwardedHeaderContainsKey(const header_list& headers) {
  const header_list forwardable = ForwardableHeaders(headers);
  return std::any_of(headers.all().begin(), headers.all().end(),
                     [&forwardable](const http_header& field) {
                       return ContainsKey(field.value) &&
                              forwardable.Count(field.name) > 0;
                     });
}

/// Reads the whole body and rejects a key in the body or in a header that would
/// be forwarded. Keys are rejected rather than redacted, because redaction
/// would make different values of Idempotency-Key equal.
asio::awaitable<result<std::string>> ReadCheckedBody(http_exchange& exchange) {
  if (ForwardedHeaderContainsKey(exchange.request().headers)) {
    co_return Fail(error_kind::invalid_credentials,
                   "a key may only be sent in the Authorization header");
  }
  result<std::string> body = co_await exchange.ReadBody(kMaxBodyBytes);
  if (body && ContainsKey(*body)) {
    co_return Fail(error_kind::invalid_request,
                   "the body contains a key; a key may only be sent in the "
                   "Authorization header");
  }
  co_return body;
}

}  // namespace

asio::awaitable<void> SendError(http_exchange& exchange,
                                error cause,
                                std::string request_id) {
  http_response answer = ErrorResponse(cause, request_id);
  answer.headers.Set(internal_api::kRequestId, std::move(request_id));
  co_await exchange.Send(std::move(answer));
}

asio::awaitable<void> SendJson(http_exchange& exchange,
                               int status,
                               std::string body,
                               std::string request_id) {
  http_response answer = JsonResponse(status, std::move(body));
  answer.headers.Set(internal_api::kRequestId, std::move(request_id));
  co_await exchange.Send(std::move(answer));
}

caller_server::caller_server(process_context& context,
                             const entry_settings& settings,
                             config_follower& config,
                             forwarder& forward,
                             stop_monitor& stop,
                             caller_services services)
    : context_(&context),
      settings_(&settings),
      config_(&config),
      forwarder_(&forward),
      stop_(&stop),
      services_(std::move(services)) {}

void caller_server::AddCallerApi(std::string path_prefix,
                                 caller_handler handler) {
  apis_.push_back({std::move(path_prefix), std::move(handler)});
}

void caller_server::SetAdminApi(caller_handler handler) {
  admin_ = std::move(handler);
}

result<void> caller_server::Start() {
  http_server_options options;
  options.listen = settings_->listen;
  options.tls = settings_->tls;
  options.resources = context_->resources();
  options.serves_callers = true;
  auto server = http_server::Create(
      options, context_->traffic(),
      [this](http_exchange& exchange) { return Serve(exchange); });
  if (!server) {
    return Fail(server.error());
  }
  server_ = std::move(*server);
  server_->Start();
  return {};
}

asio::awaitable<bool> caller_server::ServeProbe(http_exchange& exchange) {
  const std::string& target = exchange.request().target;
  http_response answer = JsonResponse(200, "{}");
  if (target == "/readyz") {
    answer.status = services_.ready() ? 200 : 503;
  } else if (target == "/metrics") {
    answer.headers.Set("Content-Type", "text/plain; version=0.0.4");
    context_->UpdateResourceMetrics();
    answer.body = context_->metrics().Expose();
  } else if (target != "/healthz") {
    co_return false;
  }
  co_await exchange.Send(std::move(answer));
  co_return true;
}

asio::awaitable<void> caller_server::Serve(http_exchange& exchange) {
  if (co_await ServeProbe(exchange)) {
    co_return;
  }
  const time_point arrived = context_->time().Now();
  caller_request request;
  request.head = exchange.request();
  request.target = ParseTarget(request.head.target);
  request.request_id = ChooseRequestId(request.head.headers);
  const auto parent = trace_context::Parse(
      request.head.headers.Get(internal_api::kTraceparent).value_or(""));
  request.trace = parent ? parent->Child() : trace_context::New();
  request.parent_span_id = parent ? parent->span_id : "";
  request.view = config_->view();

  span_record span;
  span.context = request.trace;
  span.parent_span_id = request.parent_span_id;
  span.name = "entry " + request.target.path;
  span.start = context_->time().WallNow();

  const std::optional<error> failure = co_await Dispatch(exchange, request);
  if (failure && !exchange.answer_started()) {
    co_await SendError(exchange, *failure, request.request_id);
  }
  const std::string kind =
      failure ? std::string(ToString(failure->kind())) : "none";
  context_->metrics()
      .Counter("cardamomyard_requests_total", {{"error", kind}})
      .Add();
  context_->metrics()
      .Summary("cardamomyard_request_seconds")
      .Observe(std::chrono::duration<double>(context_->time().Now() - arrived)
                   .count());
  span.end = context_->time().WallNow();
  span.failed = failure.has_value();
  span.attributes = {{"request_id", request.request_id},
                     {"account", request.account},
                     {"error", kind}};
  context_->spans().Write(span);
}

asio::awaitable<std::optional<error>> caller_server::Dispatch(
    http_exchange& exchange,
    caller_request& request) {
  const std::string& path = request.target.path;
  if (HasPrefix(path, "/admin") && admin_) {
    co_await admin_(exchange, request);
    co_return std::nullopt;
  }
  if (request.view == nullptr) {
    co_return error::Make(error_kind::not_ready,
                          "this host has no configuration yet");
  }
  for (const caller_api& api : apis_) {
    if (HasPrefix(path, api.prefix)) {
      if (result<void> checked = CheckCaller(request, true); !checked) {
        co_return checked.error();
      }
      co_await api.handler(exchange, request);
      co_return std::nullopt;
    }
  }
  if (path == "/v1/models") {
    co_return co_await ServeModels(exchange, request);
  }
  if (IsInferencePath(path)) {
    co_return co_await ServeInference(exchange, request);
  }
  if (const route_config* route = request.view->content().FindRoute(path)) {
    co_return co_await ServeRoute(exchange, request, *route);
  }
  co_return error::Make(error_kind::not_found, "no route for " + path);
}

result<void> caller_server::CheckCaller(caller_request& request,
                                        bool require_key) const {
  if (const std::optional<error> refusal = services_.refusal();
      refusal && require_key) {
    return Fail(*refusal);
  }
  return Authenticate(request, require_key);
}

std::function<std::optional<error>()> caller_server::MakeStreamCheck(
    const caller_request& request) const {
  return [this, key_id = request.key_id]() -> std::optional<error> {
    if (std::optional<error> stopped = stop_->Check(context_->time().Now())) {
      return stopped;
    }
    if (key_id.empty()) {
      return std::nullopt;
    }
    if (config_->view()->keys.IsWithdrawn(key_id)) {
      return error::Make(error_kind::key_withdrawn,
                         "the key was withdrawn while the request ran")
          .WithOutcome(outcome::may_have_run);
    }
    if (std::optional<error> refusal = services_.refusal()) {
      return refusal->WithOutcome(outcome::may_have_run);
    }
    return std::nullopt;
  };
}

forward_request caller_server::MakeForwardRequest(const caller_request& request,
                                                  std::string body) const {
  forward_request forwarded;
  forwarded.method = request.head.method;
  forwarded.target = request.head.target;
  forwarded.headers = ForwardableHeaders(request.head.headers);
  forwarded.body = std::move(body);
  forwarded.account = request.account;
  forwarded.request_id = request.request_id;
  forwarded.trace = request.trace;
  forwarded.check = MakeStreamCheck(request);
  if (const account_config* account =
          request.view->content().FindAccount(request.account)) {
    forwarded.weight = account->weight;
  }
  return forwarded;
}

asio::awaitable<std::optional<error>> caller_server::ServeModels(
    http_exchange& exchange,
    caller_request& request) {
  if (result<void> checked = CheckCaller(request, true); !checked) {
    co_return checked.error();
  }
  const configuration& content = request.view->content();
  const account_config* account = content.FindAccount(request.account);
  json::array models;
  for (const model_config* model : content.All<model_config>()) {
    if (account != nullptr && account->MayUse(model->name)) {
      models.push_back(json::object{{"id", model->name},
                                    {"object", "model"},
                                    {"owned_by", "cardamomyard"}});
    }
  }
  const json::object body{{"object", "list"}, {"data", std::move(models)}};
  co_await SendJson(exchange, 200, json::serialize(body), request.request_id);
  co_return std::nullopt;
}

asio::awaitable<std::optional<error>> caller_server::ServeInference(
    http_exchange& exchange,
    caller_request& request) {
  if (request.head.method != "POST") {
    co_return error::Make(error_kind::invalid_request,
                          "the method must be POST");
  }
  if (result<void> checked = CheckCaller(request, true); !checked) {
    co_return checked.error();
  }
  result<std::string> body = co_await ReadCheckedBody(exchange);
  if (!body) {
    co_return body.error();
  }
  auto parsed = ParseInferenceRequest(request.target.path, *body);
  if (!parsed) {
    co_return parsed.error();
  }
  const configuration& content = request.view->content();
  if (content.FindModel(parsed->model) == nullptr) {
    co_return error::Make(error_kind::not_found,
                          "no model \"" + parsed->model + "\"");
  }
  const account_config* account = content.FindAccount(request.account);
  if (account == nullptr || !account->MayUse(parsed->model)) {
    co_return error::Make(
        error_kind::forbidden,
        "the client account may not use the model \"" + parsed->model + "\"");
  }
  forward_request forwarded = MakeForwardRequest(request, std::move(*body));
  forwarded.target = request.target.path;
  forwarded.deployment = parsed->model;
  forwarded.repeatable = true;
  forwarded.timeout = kInferenceTimeout;
  forwarded.prefix_hash = PromptPrefixHash(parsed->prompt);
  forwarded.prompt_parts = parsed->parts;
  usage_subject subject{request.account, request.key_id,
                        "model/" + parsed->model};
  co_return co_await ForwardAndMeter(exchange, request.account, std::nullopt,
                                     std::move(subject), std::move(forwarded));
}

asio::awaitable<std::optional<error>> caller_server::AdmitAndForward(
    http_exchange& exchange,
    std::string limited,
    std::optional<std::string> idempotency_key,
    forward_request forwarded) {
  const time_point now = context_->time().Now();
  if (!stop_->MayTake(now, now + forwarded.timeout)) {
    co_return error::Make(error_kind::draining,
                          "this host stops before the time limit")
        .WithRetryAfter(std::chrono::milliseconds(0));
  }
  result<void> admitted = co_await services_.take_token(std::move(limited));
  if (!admitted) {
    co_return admitted.error();
  }
  if (idempotency_key && services_.run_idempotent) {
    co_return co_await services_.run_idempotent(exchange, std::move(forwarded),
                                                std::move(*idempotency_key));
  }
  co_return co_await forwarder_->Forward(exchange, std::move(forwarded));
}

asio::awaitable<std::optional<error>> caller_server::ForwardAndMeter(
    http_exchange& exchange,
    std::string limited,
    std::optional<std::string> idempotency_key,
    usage_subject subject,
    forward_request forwarded) {
  usage_meter meter;
  forwarded.observe = [&meter](const std::string& piece) {
    meter.Observe(piece);
  };
  std::optional<error> failure = co_await AdmitAndForward(
      exchange, std::move(limited), std::move(idempotency_key),
      std::move(forwarded));
  if (failure && stop_->Check(context_->time().Now())) {
    stop_->RecordEnded();
  }
  if (services_.record_usage) {
    services_.record_usage(subject, failure, meter.tokens());
  }
  co_return failure;
}

asio::awaitable<std::optional<error>> caller_server::ServeRoute(
    http_exchange& exchange,
    caller_request& request,
    const route_config& route) {
  if (result<void> checked = CheckCaller(request, !route.open); !checked) {
    co_return checked.error();
  }
  if (ContainsKey(request.head.target)) {
    co_return error::Make(error_kind::invalid_credentials,
                          "a key may only be sent in the Authorization header");
  }
  result<std::string> body = co_await ReadCheckedBody(exchange);
  if (!body) {
    co_return body.error();
  }
  std::string limited = route.open ? "route/" + route.name : request.account;
  const configuration& content = request.view->content();
  forward_request forwarded = MakeForwardRequest(request, std::move(*body));
  forwarded.deployment = route.service;
  forwarded.repeatable = route.repeatable;
  forwarded.timeout = content.FindService(route.service)->timeout;
  forwarded.prefix_hash = Hash64(request.request_id);
  std::optional<std::string> idempotency_key;
  if (!route.repeatable) {
    idempotency_key = request.head.headers.Get("Idempotency-Key");
  }
  usage_subject subject{request.account, request.key_id, "route/" + route.name};
  co_return co_await ForwardAndMeter(exchange, std::move(limited),
                                     std::move(idempotency_key),
                                     std::move(subject), std::move(forwarded));
}

}  // namespace cardamomyard
