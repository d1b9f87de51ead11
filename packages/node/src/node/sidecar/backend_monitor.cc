#include "src/node/sidecar/backend_monitor.h"

#include <boost/json.hpp>
#include <utility>

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr part_log kLog("backend");
constexpr std::chrono::milliseconds kPollInterval{100};
constexpr std::chrono::milliseconds kProbeTimeout{1000};
// A single probe misses the crash of a server that restarts at once.
constexpr int kCrashProbes = 3;
constexpr std::chrono::milliseconds kCrashProbeInterval{10};

}  // namespace

backend_monitor::backend_monitor(process_context& context,
                                 const sidecar_settings& settings,
                                 admission_gate& gate)
    : context_(&context), settings_(&settings), gate_(&gate) {}

asio::awaitable<void> backend_monitor::Run() {
  while (true) {
    const bool answers = co_await Probe();
    if (answers && !alive_.exchange(true)) {
      kLog.Info("The backend server answers.",
                {{"address", settings_->backend.ToString()}});
      ++run_count_;
    } else if (!answers && alive_) {
      RecordCrash();
    }
    co_await SleepFor(kPollInterval);
  }
}

asio::awaitable<bool> backend_monitor::Probe() {
  http_request request;
  request.target =
      settings_->kind == backend_kind::engine ? "/load" : "/healthz";
  call_options options;
  options.connect_timeout = kProbeTimeout;
  options.head_timeout = kProbeTimeout;
  options.idle_timeout = kProbeTimeout;
  options.reuse_connection = true;
  result<http_response> response = co_await context_->http().Fetch(
      settings_->backend, std::move(request), options);
  if (!response) {
    // Only a refused or closed connection counts as a crash, a timeout does
    // not.
    co_return response.error().kind() == error_kind::timeout;
  }
  if (settings_->kind == backend_kind::engine && response->status == 200) {
    ObserveLoad(response->body);
  }
  co_return true;
}

void backend_monitor::ObserveLoad(const std::string& body) {
  boost::system::error_code parse_error;
  const json::value load = json::parse(body, parse_error);
  if (parse_error || !load.is_object()) {
    return;
  }
  const json::value* running = load.as_object().if_contains("running");
  const json::value* step = load.as_object().if_contains("step_ms");
  if (running == nullptr || step == nullptr || !running->is_number() ||
      !step->is_number()) {
    return;
  }
  const auto count = running->to_number<int>();
  const auto step_time = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(step->to_number<double>()));
  step_time_ = step_time.count();
  const json::value* waiting = load.as_object().if_contains("waiting");
  const int waiting_count = waiting != nullptr && waiting->is_number()
                                ? waiting->to_number<int>()
                                : 0;
  if (count > 0) {
    gate_->ObserveStep(step_time, count, waiting_count);
  }
}

void backend_monitor::RequestStarted(request_id id,
                                     request_fingerprint fingerprint,
                                     bool isolated) {
  const std::lock_guard lock(mutex_);
  running_[id] = {fingerprint, isolated};
}

void backend_monitor::RequestEnded(request_id id) {
  const std::lock_guard lock(mutex_);
  running_.erase(id);
}

asio::awaitable<bool> backend_monitor::ConfirmCrash() {
  for (int probe = 0; probe < kCrashProbes; ++probe) {
    if (!alive_) {
      co_return true;
    }
    const bool answers = co_await Probe();
    if (!answers) {
      RecordCrash();
      co_return true;
    }
    co_await SleepFor(kCrashProbeInterval);
  }
  co_return false;
}

void backend_monitor::RecordCrash() {
  if (!alive_.exchange(false)) {
    return;
  }
  std::size_t count = 0;
  {
    const std::lock_guard lock(mutex_);
    std::vector<request_fingerprint> fingerprints;
    bool isolated = false;
    for (const auto& [id, request] : running_) {
      fingerprints.push_back(request.fingerprint);
      isolated = isolated || request.isolated;
    }
    count = fingerprints.size();
    suspects_.RecordServerCrash(fingerprints, isolated,
                                context_->time().WallNow());
  }
  context_->metrics().Counter("cardamomyard_backend_deaths_total").Add();
  kLog.Error("The backend server crashed.", {{"running", count}});
  if (on_crash_) {
    on_crash_();
  }
}

bool backend_monitor::MergeSuspects(const std::vector<suspect_entry>& entries) {
  const std::lock_guard lock(mutex_);
  bool changed = false;
  for (const suspect_entry& entry : entries) {
    changed |= suspects_.Merge(entry, context_->time().WallNow());
  }
  return changed;
}

std::vector<suspect_entry> backend_monitor::Suspects() const {
  const std::lock_guard lock(mutex_);
  return suspects_.Entries(context_->time().WallNow());
}

std::optional<suspect_entry> backend_monitor::FindSuspect(
    request_fingerprint fingerprint) const {
  for (const suspect_entry& entry : Suspects()) {
    if (entry.fingerprint == fingerprint) {
      return entry;
    }
  }
  return std::nullopt;
}

void backend_monitor::ClearSuspect(request_fingerprint fingerprint) {
  const std::lock_guard lock(mutex_);
  suspects_.RecordCleared(fingerprint, context_->time().WallNow());
}

}  // namespace cardamomyard
