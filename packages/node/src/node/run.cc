#include "src/node/run.h"

#include <pthread.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "cardamomyard/statechart.h"
#include "src/node/entry/entry.h"
#include "src/node/sidecar/sidecar.h"

namespace cardamomyard {
namespace {

// The process ends soon also when nobody reads its output.
constexpr std::chrono::milliseconds kFlushLimit{300};

/// Blocks the stop signals in every thread that is started later.
sigset_t BlockStopSignals() {
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return stop;
}

template <class Role, class Settings>
result<void> RunRole(const Settings& settings) {
  if (result<void> charts = ActivateCharts(settings.common.charts_folder);
      !charts) {
    return charts;
  }
  const sigset_t stop = BlockStopSignals();
  auto role = Role::Create(settings);
  if (!role) {
    return Fail(role.error());
  }
  if (result<void> started = (*role)->Start(); !started) {
    return started;
  }
  int signal = 0;
  sigwait(&stop, &signal);
  (*role)->Stop();
  // Coroutines that are still suspended refer to parts of the role, and kept
  // connections refer to the threads' contexts: no order of destruction suits
  // both, so the process ends without it. Logs and spans are flushed already.
  FlushLogs(kFlushLimit);
  std::_Exit(0);
}

struct role_runner {
  result<void> operator()(const entry_settings& settings) const {
    return RunRole<entry>(settings);
  }
  result<void> operator()(const sidecar_settings& settings) const {
    return RunRole<sidecar>(settings);
  }
};

}  // namespace

result<void> RunServer(const server_settings& settings) {
  return std::visit(role_runner{}, settings);
}

}  // namespace cardamomyard
