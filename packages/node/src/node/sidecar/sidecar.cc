#include "src/node/sidecar/sidecar.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <thread>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/host_list_client.h"
#include "src/node/port_file.h"
#include "src/node/process_status.h"
#include "src/node/suspect_codec.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr part_log kLog("sidecar");
constexpr std::chrono::milliseconds kRefreshInterval{250};
// A sidecar that was paused for longer may have missed that its host is
// leaving.
constexpr std::chrono::seconds kMaxRefreshAge{2};
constexpr std::chrono::milliseconds kDrainPollInterval{20};
constexpr std::chrono::seconds kStorePollInterval{10};
constexpr std::chrono::seconds kStoreProbeInterval{2};
constexpr std::chrono::milliseconds kStoreProbeTick{250};
// An entry host that has contact receives evidence of it within half of the
// contact window.
constexpr std::chrono::milliseconds kMaxEntryContactAge{2500};

// Values of heartbeat::state.
enum class reported_state { starting, serving, draining, down };

admission_policy MakeAdmissionPolicy(const sidecar_settings& settings) {
  if (settings.common.policy == policy_kind::naive) {
    return first_come_admission(settings.slots);
  }
  admission_controller::options options;
  options.capacity.initial = settings.slots;
  if (settings.kind == backend_kind::service) {
    options.capacity.max = settings.slots;
  }
  return admission_controller(options);
}

}  // namespace

sidecar::sidecar(sidecar_settings settings,
                 std::unique_ptr<process_context> context)
    : settings_(std::move(settings)),
      context_(std::move(context)),
      config_(*context_),
      share_table_(*context_),
      gate_(MakeAdmissionPolicy(settings_), context_->time()),
      monitor_(*context_, settings_, gate_),
      handler_(
          *context_,
          settings_,
          gate_,
          monitor_,
          [this] { return Refusal(); },
          [this] {
            return draining_ ? std::to_string(context_->incarnation())
                             : std::string();
          }),
      server_(*context_),
      heartbeats_(
          *context_,
          [this] { return BuildHeartbeat(); },
          [this](const host_address& from, const heartbeat_reply& reply) {
            OnReply(from, reply);
          }) {
  if (settings_.kind == backend_kind::engine) {
    orders_ =
        std::make_unique<engine_orders>(OrderParts(), engine_order_options{});
  }
  if (settings_.run_batch) {
    batch_parts parts;
    parts.context = context_.get();
    parts.settings = &settings_;
    parts.config = &config_;
    parts.gate = &gate_;
    parts.monitor = &monitor_;
    parts.cancelled = &cancelled_;
    parts.refusal = [this] { return Refusal(); };
    batch_ = std::make_unique<batch_worker>(std::move(parts));
  }
  monitor_.OnCrash([this] { heartbeats_.TriggerSend(); });
  config_.OnChange([this](const config_view& view) {
    gate_.SetBatchWeight(view.content().balance().batch_weight);
  });
}

sidecar::~sidecar() {
  if (batch_) {
    batch_->Stop();
  }
  context_->StopThreads();
}

result<std::unique_ptr<sidecar>> sidecar::Create(sidecar_settings settings) {
  auto context = process_context::Create(settings.common);
  if (!context) {
    return Fail(context.error());
  }
  return std::unique_ptr<sidecar>(
      new sidecar(std::move(settings), std::move(*context)));
}

result<void> sidecar::Start() {
  config_.AddHandlers(server_);
  share_table_.AddHandlers(server_);
  AddStatusHandler(server_, [this] {
    const auto age = store_.Age(context_->time().Now());
    const bool contact = age && *age <= kStorePollInterval;
    return process_status{settings_.common.id,
                          "sidecar",
                          settings_.common.zone,
                          config_.in_force(),
                          share_table_.epoch(),
                          contact ? "store_contact" : "none",
                          draining_          ? "draining"
                          : monitor_.alive() ? "serving"
                                             : "down",
                          context_->incarnation()};
  });
  server_.SetFallback([this](http_exchange& exchange, http_request request) {
    return handler_.Handle(exchange, std::move(request));
  });
  if (result<void> started = server_.Start(); !started) {
    return started;
  }
  asio::co_spawn(context_->control(), RefreshHostList(), kEndOnException);
  asio::co_spawn(context_->control(), PollStore(), kEndOnException);
  asio::co_spawn(context_->control(), monitor_.Run(), kEndOnException);
  asio::co_spawn(context_->control(), heartbeats_.Run(), kEndOnException);
  if (orders_) {
    asio::co_spawn(context_->control(), orders_->Run(), kEndOnException);
  }
  if (batch_) {
    batch_->Start();
  }
  kLog.Info("Sidecar started.", {{"id", settings_.common.id},
                                 {"address", context_->advertised().ToString()},
                                 {"deployment", settings_.deployment}});
  return WritePortFile(settings_.common.port_file,
                       {{"internal", context_->advertised()}});
}

void sidecar::Stop() {
  context_->SetStopping();
  BeginDrain("The process was asked to stop.");
  asio::co_spawn(context_->control(), heartbeats_.SendToAll(), asio::use_future)
      .wait();
  const time_point deadline =
      context_->time().Now() + settings_.common.drain_timeout;
  while ((server_.server().active_requests() > 0 || !gate_.Report().drained ||
          (batch_ && !batch_->idle())) &&
         context_->time().Now() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  // Requests that arrived meanwhile are refused as not run.
  server_.server().StartDraining();
  server_.server().StopListening();
  while (!server_.server().drained() && context_->time().Now() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  kLog.Info("Sidecar stopped.",
            {{"cut_requests", server_.server().active_requests()}});
  context_->StopThreads();
}

asio::awaitable<void> sidecar::RefreshHostList() {
  while (true) {
    auto hosts = co_await ReadHostList(*context_);
    if (hosts) {
      if (batch_) {
        batch_->SetFleetSize(hosts->size());
      }
      for (const listed_host& host : *hosts) {
        if (host.id == settings_.common.id && host.leaving) {
          BeginDrain("The host list says that this host is leaving.");
        }
      }
    }
    last_refresh_ = context_->time().Now().time_since_epoch().count();
    co_await SleepFor(kRefreshInterval);
  }
}

std::optional<error> sidecar::Refusal() const {
  if (draining_) {
    return error::Make(error_kind::draining,
                       "the backend server takes no new work");
  }
  const time_point refreshed(duration(last_refresh_.load()));
  if (context_->time().Now() - refreshed > kMaxRefreshAge) {
    return error::Make(error_kind::not_ready,
                       "the sidecar has not refreshed its state");
  }
  if (!monitor_.alive()) {
    return error::Make(error_kind::no_backend,
                       "the backend server does not answer");
  }
  return std::nullopt;
}

engine_order_parts sidecar::OrderParts() {
  engine_order_parts parts;
  parts.store = &context_->store();
  parts.http = &context_->http();
  parts.time = &context_->time();
  parts.metrics = &context_->metrics();
  parts.engine = settings_.backend;
  parts.backend_id = settings_.common.id;
  parts.required_loads = [this]() -> std::vector<required_load> {
    const auto view = config_.view();
    const model_config* model =
        view == nullptr || draining_
            ? nullptr
            : view->content().FindModel(settings_.deployment);
    return model == nullptr ? std::vector<required_load>()
                            : RequiredLoads(*model);
  };
  parts.engine_run_number = [this] { return monitor_.run_number(); };
  return parts;
}

heartbeat sidecar::BuildHeartbeat() const {
  const gate_report report = gate_.Report();
  const time_point now = context_->time().Now();
  heartbeat message;
  message.id = settings_.common.id;
  message.deployment = settings_.deployment;
  message.zone = settings_.common.zone;
  message.address = context_->advertised().ToString();
  message.incarnation = context_->incarnation();
  const auto state = draining_          ? reported_state::draining
                     : monitor_.alive() ? reported_state::serving
                                        : reported_state::down;
  message.state = static_cast<std::int32_t>(state);
  message.free_online_slots = report.free_online_slots;
  message.queue_length = report.queue_length;
  message.running = report.online_running;
  message.batch_running = report.batch_running;
  message.batch_tokens = batch_ ? batch_->tokens() : 0;
  message.step_time = std::chrono::duration_cast<std::chrono::microseconds>(
      monitor_.step_time());
  message.store_contact_age = store_.Age(now);
  message.store_unreachable = store_.Unreachable(now);
  message.generation = static_cast<std::int64_t>(config_.in_force());
  message.share_epoch = static_cast<std::int64_t>(share_table_.epoch());
  message.sequence = std::chrono::duration_cast<std::chrono::microseconds>(
                         now.time_since_epoch())
                         .count();
  message.suspects = ToMessages(monitor_.Suspects());
  return message;
}

void sidecar::OnReply(const host_address& from, const heartbeat_reply& reply) {
  for (const std::string& job : reply.cancelled_jobs) {
    cancelled_.Add(job, context_->time().Now());
  }
  const auto generation = static_cast<std::uint64_t>(reply.generation);
  const auto epoch = static_cast<std::uint64_t>(reply.share_epoch);
  if (generation > config_.in_force() || epoch > share_table_.epoch()) {
    asio::co_spawn(context_->control(), CatchUp(from, generation, epoch),
                   kEndOnException);
  }
  store_probe_requested_ = store_probe_requested_ || !reply.store_contact_age ||
                           *reply.store_contact_age > kMaxEntryContactAge;
  monitor_.MergeSuspects(FromMessages(reply.suspects));
}

asio::awaitable<void> sidecar::CatchUp(host_address peer,
                                       std::uint64_t generation,
                                       std::uint64_t epoch) {
  co_await share_table_.CatchUp(peer, epoch);
  auto caught_up = co_await config_.CatchUp(std::move(peer), generation);
  if (!caught_up) {
    kLog.Warning("A newer configuration could not be read.",
                 {{"error", caught_up.error().message()}});
  }
}

asio::awaitable<void> sidecar::PollStore() {
  while (true) {
    // Entry hosts forward changes; this read covers a sidecar that no entry
    // host reaches. It comes earlier when an entry host has no contact with
    // the store and needs evidence from other processes.
    const time_point started = context_->time().Now();
    co_await ReadStore();
    store_probe_requested_ = false;
    time_point now = context_->time().Now();
    do {
      co_await SleepFor(kStoreProbeTick);
      now = context_->time().Now();
    } while (now - started < (store_probe_requested_ ? kStoreProbeInterval
                                                     : kStorePollInterval));
  }
}

asio::awaitable<void> sidecar::ReadStore() {
  store_.RecordAttempt(context_->time().Now());
  auto config_read = co_await config_.ReadStore();
  auto table_read = co_await share_table_.ReadStore();
  if (config_read && table_read) {
    store_.RecordSuccess(*config_read);
  } else {
    store_.RecordFailure();
  }
}

void sidecar::BeginDrain(std::string_view reason) {
  if (draining_.exchange(true)) {
    return;
  }
  kLog.Info("Draining started.", {{"reason", reason}});
  gate_.BeginDrain();
  heartbeats_.TriggerSend();
}

}  // namespace cardamomyard
