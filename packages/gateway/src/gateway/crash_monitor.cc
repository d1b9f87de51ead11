#include "src/gateway/crash_monitor.h"

#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <utility>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

// All connections of a crashed server end at about the same time.
constexpr std::chrono::milliseconds kCollectTime{10};
constexpr std::chrono::milliseconds kProbeTimeout{250};

}  // namespace

crash_monitor::crash_monitor(asio::any_io_executor executor,
                             metrics_registry& metrics,
                             crash_callback on_crash)
    : executor_(std::move(executor)),
      metrics_(&metrics),
      on_crash_(std::move(on_crash)) {}

void crash_monitor::RecordBreak(const backend_entry& backend,
                                crash_suspect suspect) {
  const auto [waiting, first] = pending_.try_emplace(backend.id);
  waiting->second.push_back(std::move(suspect));
  if (first) {
    asio::co_spawn(executor_, Confirm(backend), kEndOnException);
  }
}

asio::awaitable<void> crash_monitor::Confirm(backend_entry backend) {
  co_await SleepFor(kCollectTime);
  const bool refused =
      co_await RefusesConnections(backend.address, kProbeTimeout);
  const auto waiting = pending_.find(backend.id);
  const std::vector<crash_suspect> suspects = std::move(waiting->second);
  pending_.erase(waiting);
  if (!refused) {
    log_.Info("A server broke off requests but has not crashed.",
              {{"backend", backend.id}, {"requests", suspects.size()}});
    co_return;
  }
  metrics_
      ->Counter("cardamomyard_server_crashes_total",
                {{"service", backend.service}})
      .Add();
  log_.Warning("A server has crashed.", {{"backend", backend.id},
                                         {"service", backend.service},
                                         {"requests", suspects.size()}});
  on_crash_(backend, suspects);
}

}  // namespace cardamomyard
