#include "src/gateway/gateway.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

#include "cardamomyard/limits.h"
#include "src/gateway/job_frontend.h"
#include "src/gateway/quota_gate.h"
#include "src/gateway/request_handler.h"
#include "src/gateway/request_limits.h"
#include "src/gateway/request_state.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

// The load balancer checks readiness each second and removes a host after two
// failed checks. Until then new connections arrive and are served.
constexpr std::chrono::milliseconds kBalancerRemovalDelay{2600};
// Stopping ends this long before the process would be killed.
constexpr std::chrono::milliseconds kStopMargin{400};
constexpr std::chrono::milliseconds kStopPollInterval{20};
// The last answers leave and their connections close within this time.
constexpr std::chrono::milliseconds kLastAnswersTime{200};
// Applies when the route sets no timeout.
constexpr std::chrono::milliseconds kDefaultTimeout{30'000};
// A starting host receives its configuration with its first call to the store.
constexpr std::chrono::milliseconds kNotReadyRetryDelay{500};

class gateway_impl final : public gateway {
 public:
  static result<std::unique_ptr<gateway>> Create(host_settings settings,
                                                 platform_services services) {
    auto created = std::make_unique<gateway_impl>();
    auto host = host_runtime::Create(
        std::move(settings), host_role::gateway, std::move(services),
        host_runtime::role_callbacks{
            [self = created.get()](load_digest& digest) {
              self->quotas_->FillDigest(digest);
            },
            [self = created.get()](const load_digest& digest) {
              self->quotas_->OnDigest(digest);
              self->job_frontend_->OnDigest(digest);
            },
            [](const std::string&) {},
            [self = created.get()](
                const std::shared_ptr<const service_map>& new_configuration) {
              self->Configure(*new_configuration);
            },
            [](http_exchange& exchange) -> asio::awaitable<void> {
              co_await exchange.Send(ErrorResponse(
                  error::Make(error_kind::not_found, "unknown internal call"),
                  ""));
            }});
    if (!host) {
      return Fail(host.error());
    }
    created->host_ = std::move(*host);
    created->quotas_ = std::make_unique<quota_gate>(
        created->host_->time(), created->host_->peers(),
        created->host_->settings().first_start);
    created->request_handler_ =
        std::make_unique<request_handler>(*created->host_, *created->quotas_);
    created->job_frontend_ = std::make_unique<job_frontend>(*created->host_);
    if (result<void> opened = created->Listen(); !opened) {
      return Fail(opened.error());
    }
    return std::unique_ptr<gateway>(std::move(created));
  }

  void Start() override {
    host_->Start();
    caller_server_->Start();
    readiness_server_->Start();
  }

  void Stop() override {
    log_.Info("The gateway stops.",
              {{"open_connections", caller_server_->open_connections()},
               {"active_requests", caller_server_->active_requests()}});
    const time_point stop_started = host_->time().Now();
    const time_point end =
        stop_started + host_->settings().bounds.stop_grace - kStopMargin;
    const auto schedule = stop_schedule::Make(
        stop_started + kBalancerRemovalDelay, end, kLastAnswersTime);
    RunOnTrafficThread([this, &schedule] {
      stopping_ = true;
      schedule_ = schedule;
      host_->StartDraining();
      request_handler_->BeginStop(schedule);
    });
    // A caller that is told so sends its next request elsewhere, so that few
    // requests cross the close of their connection.
    caller_server_->StopKeepAlive();
    WaitUntil(stop_started + kBalancerRemovalDelay, [] { return false; });
    caller_server_->StartDraining();
    caller_server_->StopListening();
    WaitUntil(end, [this] { return caller_server_->drained(); });
    RunOnTrafficThread([this] {
      const stop_counts& stopped = request_handler_->stopped();
      log_.Info("The gateway has stopped.",
                {{"refused_late", refused_late_},
                 {"ended_requests", stopped.ended},
                 {"cut_requests", static_cast<std::size_t>(stopped.cut) +
                                      caller_server_->active_requests()}});
    });
  }

 private:
  result<void> Listen() {
    const host_settings& settings = host_->settings();
    if (!settings.caller_listen || !settings.ready_listen) {
      return Fail(
          error_kind::invalid_request,
          "a gateway needs listen addresses for callers and readiness checks");
    }
    http_server_options options;
    options.listen = *settings.caller_listen;
    options.resources = host_->resources();
    options.serves_callers = true;
    options.on_unanswered = [this](const unanswered_bytes& unanswered) {
      LogUnanswered(unanswered);
    };
    auto callers = http_server::Create(
        options, host_->traffic_threads(),
        [this](http_exchange& exchange) { return Handle(exchange); });
    if (!callers) {
      return Fail(callers.error());
    }
    caller_server_ = std::move(*callers);
    options.listen = *settings.ready_listen;
    options.serves_callers = false;
    options.on_unanswered = nullptr;
    auto readiness = http_server::Create(
        options, host_->traffic_threads(),
        [this](http_exchange& exchange) { return HandleReadiness(exchange); });
    if (!readiness) {
      return Fail(readiness.error());
    }
    readiness_server_ = std::move(*readiness);
    return {};
  }

  void LogUnanswered(const unanswered_bytes& unanswered) {
    std::string id;
    if (unanswered.head) {
      const auto caller = host_->codec().ParseInboundRequest(*unanswered.head);
      id = caller ? caller->id : "";
    }
    log_.Warning("A connection ends without an answer to bytes of its caller.",
                 {{"request", id},
                  {"stage", ToString(unanswered.where)},
                  {"whole_head", unanswered.head ? "yes" : "no"},
                  {"bytes", unanswered.bytes},
                  {"reason", unanswered.reason},
                  {"stopping", stopping_ ? "yes" : "no"}});
    host_->metrics()
        .Counter("cardamomyard_unanswered_total",
                 {{"stage", std::string(ToString(unanswered.where))}})
        .Add();
  }

  void RunOnTrafficThread(const std::function<void()>& work) {
    std::promise<void> done;
    asio::post(host_->traffic(), [&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  void WaitUntil(time_point end, const std::function<bool()>& done) {
    while (host_->time().Now() < end && !done()) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
  }

  void Configure(const service_map& new_configuration) {
    quotas_->Configure(new_configuration);
    const caller_limits& limits = new_configuration.limits();
    caller_server_->SetLimits(limits.max_header_bytes, limits.header_timeout,
                              limits.idle_timeout);
  }

  bool IsReady() const {
    return !stopping_ &&
           host_->current_inventory().backends().evacuations_known() &&
           host_->current_inventory().configuration() != nullptr &&
           host_->current_inventory().backends_listed();
  }

  asio::awaitable<void> HandleReadiness(http_exchange& exchange) {
    http_response response;
    response.status = IsReady() ? 200 : 503;
    co_await exchange.Send(std::move(response));
  }

  asio::awaitable<void> Handle(http_exchange& exchange) {
    const time_point arrived = host_->time().Now();
    const auto configuration = host_->current_inventory().configuration();
    const auto caller = host_->codec().ParseInboundRequest(exchange.request());
    if (!caller) {
      co_await Refuse(exchange, caller.error(), "");
      co_return;
    }
    if (configuration == nullptr || IsIsolated()) {
      co_await Refuse(
          exchange,
          error::Make(configuration == nullptr ? error_kind::not_ready
                                               : error_kind::isolated,
                      "this host has no current configuration")
              .WithRetryAfter(kNotReadyRetryDelay),
          caller->id);
      co_return;
    }
    auto call = host_->codec().ParseJobCall(exchange.request());
    const service_route* route =
        call ? nullptr : configuration->MatchRoute(caller->host, caller->path);
    if (!call && route == nullptr) {
      co_await Refuse(exchange,
                      error::Make(error_kind::not_found,
                                  "no route matches " + caller->path),
                      caller->id, configuration.get());
      co_return;
    }
    std::string account;
    if (configuration->keys_required() && (route == nullptr || !route->open)) {
      const service_account* key_account =
          caller->key ? configuration->AccountOfKey(*caller->key) : nullptr;
      if (key_account == nullptr) {
        co_await Refuse(exchange,
                        error::Make(error_kind::invalid_credentials,
                                    caller->key ? "the API key is unknown"
                                                : "an API key is required"),
                        caller->id, configuration.get());
        co_return;
      }
      account = key_account->name;
    }
    result<std::string> body =
        co_await exchange.ReadBody(configuration->limits().max_body_bytes);
    if (!body) {
      co_await Refuse(exchange, body.error(), caller->id);
      co_return;
    }
    const time_point time_limit = arrived + TimeLimit(*caller, call, route);
    if (schedule_ && !schedule_->MayTake(host_->time().Now(), time_limit)) {
      ++refused_late_;
      co_await Refuse(exchange,
                      error::Make(error_kind::draining,
                                  "this host stops before the time limit")
                          .WithRetryAfter(std::chrono::milliseconds(0)),
                      caller->id, configuration.get());
      co_return;
    }
    if (call || route->kind == route_kind::batch) {
      http_response response;
      if (!call) {
        response = co_await job_frontend_->Submit(*caller, *route, account,
                                                  std::move(*body));
      } else if (!*call) {
        response = host_->codec().MakeErrorResponse(call->error(), caller->id);
      } else {
        if (auto* read = std::get_if<read_job>(&**call); read && schedule_) {
          read->wait = ToMilliseconds(schedule_->LimitWait(
              host_->time().Now(),
              std::min(read->wait, job_frontend::kMaxReadWait),
              job_frontend::kReadTime));
        }
        response =
            co_await job_frontend_->HandleJobCall(*caller, **call, account);
      }
      co_await exchange.Send(std::move(response));
      co_return;
    }
    auto request = std::make_shared<request_state>();
    request->exchange = &exchange;
    request->configuration = configuration;
    request->route = route;
    request->account = account;
    request->zones = AllowedZones(*route, configuration->FindAccount(account),
                                  host_->settings().region_of_zone);
    request->caller = *caller;
    request->suspect.request =
        Hash64(*body, Hash64(exchange.request().target, Hash64(account)));
    for (const std::string& part : caller->prompt_parts) {
      request->suspect.parts.push_back(Hash64(part));
    }
    request->body = std::move(*body);
    request->arrived = arrived;
    request->time_limit = time_limit;
    request->deadline = time_limit;
    if (!account.empty()) {
      if (const auto wait = quotas_->Admit(account)) {
        log_.Info("A request is over its account's quota.",
                  {{"request", caller->id},
                   {"account", account},
                   {"retry_after_ms", wait->count()},
                   {"configuration", configuration->version()}});
        co_await Refuse(exchange,
                        error::Make(error_kind::rate_limited,
                                    "the account has exceeded its quota")
                            .WithRetryAfter(*wait),
                        caller->id);
        co_return;
      }
      request->quota_charged = true;
      host_->digests().NotifyChanged();
    }
    co_await request_handler_->Handle(exchange, std::move(request));
  }

  static std::chrono::milliseconds TimeLimit(
      const inbound_request& caller,
      const std::optional<result<job_call>>& call,
      const service_route* route) {
    if (call && *call && !std::holds_alternative<cancel_job>(**call)) {
      return job_frontend::kReadTime;
    }
    if (call || route->kind == route_kind::batch) {
      return job_frontend::kWriteTime;
    }
    return Timeout(caller, *route);
  }

  static std::chrono::milliseconds Timeout(const inbound_request& caller,
                                           const service_route& route) {
    const auto max_timeout =
        route.timeout.count() > 0 ? route.timeout : kDefaultTimeout;
    return caller.time_left ? std::min(*caller.time_left, max_timeout)
                            : max_timeout;
  }

  /// \returns whether this host might still accept a revoked key, in a
  /// deployment that bounds the time of revocation. That is so when neither
  /// this host nor a live peer had contact with the store within the bound.
  bool IsIsolated() const {
    const auto bound = host_->settings().bounds.key_revocation_bound;
    if (!bound) {
      return false;
    }
    const auto store_age = host_->current_inventory().store_age();
    if (store_age && *store_age < *bound) {
      return false;
    }
    const time_point now = host_->time().Now();
    for (const auto& [name, peer] : host_->peers().peers()) {
      if (host_->peers().IsLive(peer, now) && peer.digest.store_contact_age &&
          *peer.digest.store_contact_age < *bound) {
        return false;
      }
    }
    return true;
  }

  asio::awaitable<void> Refuse(http_exchange& exchange,
                               error cause,
                               std::string request_id,
                               const service_map* configuration = nullptr) {
    const auto store_age = host_->current_inventory().store_age();
    log_.Info("A request is refused.",
              {{"request", request_id},
               {"kind", ToString(cause.kind())},
               {"reason", cause.message()},
               {"configuration",
                configuration != nullptr ? configuration->version() : -1},
               {"store_age_ms", store_age ? store_age->count() : -1}});
    host_->metrics()
        .Counter("cardamomyard_requests_total",
                 {{"outcome", std::string(ToString(cause.kind()))}})
        .Add();
    co_await exchange.Send(host_->codec().MakeErrorResponse(cause, request_id));
  }

  std::unique_ptr<host_runtime> host_;
  std::unique_ptr<quota_gate> quotas_;
  std::unique_ptr<request_handler> request_handler_;
  std::unique_ptr<job_frontend> job_frontend_;
  std::unique_ptr<http_server> caller_server_;
  std::unique_ptr<http_server> readiness_server_;
  part_log log_{"gateway"};
  bool stopping_ = false;
  std::optional<stop_schedule> schedule_;
  int refused_late_ = 0;
};

}  // namespace

result<std::unique_ptr<gateway>> gateway::Create(host_settings settings,
                                                 platform_services services) {
  return gateway_impl::Create(std::move(settings), std::move(services));
}

}  // namespace cardamomyard
