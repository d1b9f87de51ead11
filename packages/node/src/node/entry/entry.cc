#include "src/node/entry/entry.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <thread>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/control_client.h"
#include "src/node/entry/batch_reader.h"
#include "src/node/internal_api.h"
#include "src/node/port_file.h"
#include "src/node/process_status.h"
#include "src/node/suspect_codec.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr part_log kLog("entry");
constexpr std::chrono::milliseconds kHostListPoll{1000};
constexpr std::chrono::milliseconds kBackendRefresh{100};
constexpr std::chrono::milliseconds kDrainPoll{20};
constexpr std::chrono::seconds kFinalFlushTimeout{10};
// Running requests notice within this time that they must end, and their last
// answers leave.
constexpr std::chrono::milliseconds kLastAnswersTime{1000};
// At most this share of the drain is kept for the last answers.
constexpr int kLastAnswersDivisor = 4;

}  // namespace

entry::entry(entry_settings settings, std::unique_ptr<process_context> context)
    : settings_(std::move(settings)),
      context_(std::move(context)),
      config_(*context_),
      backends_(*context_),
      suspects_(*context_),
      peers_(*context_, config_, cancelled_, suspects_),
      forwarder_(*context_, backends_, suspects_, stop_),
      idempotent_(*context_, forwarder_),
      files_(*context_, config_),
      batches_(*context_, config_, cancelled_),
      internal_(*context_),
      config_writer_(
          context_->store(),
          context_->time(),
          [this] {
            const auto view = config_.view();
            return view ? view->snapshot : nullptr;
          },
          [this] { return ApplyWrittenConfig(); }),
      usage_(
          context_->store(),
          context_->time(),
          settings_.common.id + "-" + std::to_string(context_->incarnation())),
      callers_(*context_,
               settings_,
               config_,
               forwarder_,
               stop_,
               MakeServices()),
      admin_(MakeAdminServices()) {}

entry::~entry() {
  context_->StopThreads();
}

result<std::unique_ptr<entry>> entry::Create(entry_settings settings) {
  auto context = process_context::Create(settings.common);
  if (!context) {
    return Fail(context.error());
  }
  return std::unique_ptr<entry>(
      new entry(std::move(settings), std::move(*context)));
}

caller_services entry::MakeServices() {
  caller_services services;
  services.take_token = [this](std::string account) {
    return peers_.TakeToken(std::move(account));
  };
  services.run_idempotent = [this](http_exchange& exchange,
                                   forward_request request, std::string key) {
    return idempotent_.Run(exchange, std::move(request), std::move(key));
  };
  services.refusal = [this] { return peers_.Refusal(); };
  services.ready = [this] { return !draining_ && peers_.ready(); };
  services.record_usage = [this](const usage_subject& subject,
                                 const std::optional<error>& failure,
                                 const token_usage& tokens) {
    usage_.Record(subject, failure, tokens);
  };
  return services;
}

admin_services entry::MakeAdminServices() {
  admin_services services;
  services.context = context_.get();
  services.config = &config_;
  services.writer = &config_writer_;
  services.backends = &backends_;
  services.token = settings_.admin_token;
  services.cancel_job = [this](std::string job_id) {
    return CancelForOperator(std::move(job_id));
  };
  services.entry_hosts = [this] { return peers_.KnownHosts(); };
  return services;
}

asio::awaitable<result<std::string>> entry::CancelForOperator(
    std::string job_id) {
  batch_reader reader(context_->store());
  auto job = co_await reader.Job(job_id);
  if (!job) {
    co_return Fail(job.error());
  }
  auto cancelled = co_await batches_.Cancel(job->account, job_id);
  if (!cancelled) {
    co_return Fail(cancelled.error());
  }
  co_return DescribeJob(*cancelled);
}

result<void> entry::Start() {
  callers_.SetAdminApi([this](http_exchange& exchange, caller_request request) {
    return admin_.Serve(exchange, std::move(request));
  });
  internal_.AddControl(
      std::string(internal_api::kHeartbeat),
      [this](const http_request& request) { return OnHeartbeat(request); });
  config_.AddHandlers(internal_);
  callers_.AddCallerApi(
      "/v1/files", [this](http_exchange& exchange, caller_request request) {
        return files_.Handle(exchange, std::move(request));
      });
  callers_.AddCallerApi(
      "/v1/batches", [this](http_exchange& exchange, caller_request request) {
        return batches_.Handle(exchange, std::move(request));
      });
  peers_.AddHandlers(internal_);
  AddStatusHandler(internal_, [this] {
    return process_status{settings_.common.id,
                          "entry",
                          settings_.common.zone,
                          config_.in_force(),
                          peers_.share_epoch(),
                          std::string(ToString(peers_.State())),
                          draining_        ? "draining"
                          : peers_.ready() ? "serving"
                                           : "starting",
                          context_->incarnation()};
  });
  if (result<void> started = internal_.Start(); !started) {
    return started;
  }
  if (result<void> started = callers_.Start(); !started) {
    return started;
  }
  asio::post(context_->control(), [this] { peers_.Start(); });
  asio::co_spawn(context_->control(), FollowHostList(), kEndOnException);
  asio::co_spawn(context_->control(), RefreshBackends(), kEndOnException);
  asio::co_spawn(context_->control(), FlushUsage(), kEndOnException);
  kLog.Info("Entry host started.",
            {{"id", settings_.common.id},
             {"callers", callers_.server().address().ToString()},
             {"internal", context_->advertised().ToString()}});
  return WritePortFile(settings_.common.port_file,
                       {{"callers", callers_.server().address()},
                        {"internal", context_->advertised()}});
}

void entry::Stop() {
  draining_ = true;
  context_->SetStopping();
  kLog.Info("Draining started.",
            {{"reason", "The process was asked to stop."}});
  // The load balancer needs time to notice the failing readiness check.
  std::this_thread::sleep_for(settings_.drain_notice);
  const time_point started = context_->time().Now();
  const duration drain_timeout = settings_.common.drain_timeout;
  const time_point deadline = started + drain_timeout;
  stop_.Begin(stop_schedule::Make(
      started, deadline,
      std::min<duration>(kLastAnswersTime,
                         drain_timeout / kLastAnswersDivisor)));
  callers_.server().StartDraining();
  callers_.server().StopListening();
  while (!callers_.server().drained() && context_->time().Now() < deadline) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  auto flushed =
      asio::co_spawn(context_->control(), usage_.Flush(), asio::use_future);
  if (flushed.wait_for(kFinalFlushTimeout) != std::future_status::ready) {
    kLog.Error("The last usage sums may be missing from the ledger.", {});
  }
  kLog.Info("Entry host stopped.",
            {{"refused_late", stop_.refused()},
             {"ended_requests", stop_.ended()},
             {"cut_requests", callers_.server().active_requests()}});
  context_->StopThreads();
}

asio::awaitable<http_response> entry::OnHeartbeat(const http_request& request) {
  auto message = Decode<heartbeat>(request.body);
  if (!message) {
    co_return ErrorResponse(message.error(), "");
  }
  backends_.OnHeartbeat(*message);
  peers_.OnHeartbeat(*message);
  if (suspects_.Merge(FromMessages(message->suspects))) {
    peers_.Announce();
  }
  heartbeat_reply reply;
  reply.host = settings_.common.id;
  reply.generation = static_cast<std::int64_t>(config_.in_force());
  reply.cancelled_jobs = cancelled_.PropagatedIds(context_->time().Now());
  reply.suspects = ToMessages(suspects_.Entries());
  peers_.FillReply(*message, reply);
  http_response answer;
  answer.body = Encode(reply);
  co_return answer;
}

asio::awaitable<void> entry::FollowHostList() {
  while (true) {
    auto hosts = co_await ReadHostList(*context_);
    if (hosts) {
      backends_.OnHostList(*hosts);
      peers_.OnHostList(*hosts);
    }
    co_await SleepFor(kHostListPoll);
  }
}

asio::awaitable<void> entry::RefreshBackends() {
  while (true) {
    backends_.Refresh();
    co_await SleepFor(kBackendRefresh);
  }
}

asio::awaitable<void> entry::ApplyWrittenConfig() {
  // The follower may be used on the control thread only.
  co_await asio::co_spawn(context_->control(), config_.ReadStore(),
                          asio::use_awaitable);
}

asio::awaitable<void> entry::FlushUsage() {
  while (!context_->stopping()) {
    co_await SleepFor(usage_ledger::kFlushInterval);
    result<void> flushed = co_await usage_.Flush();
    if (!flushed) {
      kLog.Warning("Could not write usage sums; retrying at the next flush.",
                   {{"error", flushed.error().message()}});
    }
  }
}

}  // namespace cardamomyard
