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

// The process must end promptly even if nothing reads its log output.
constexpr std::chrono::milliseconds kLogFlushTimeout{300};

/// Ignores SIGPIPE and blocks the stop signals in this thread and in every
/// thread that is started later.
/// \returns the stop signals.
sigset_t BlockStopSignals() {
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return stop_signals;
}

template <class Role, class Settings>
result<void> RunRole(const Settings& settings) {
  if (result<void> charts = ActivateCharts(settings.common.charts_folder);
      !charts) {
    return charts;
  }
  const sigset_t stop_signals = BlockStopSignals();
  auto role = Role::Create(settings);
  if (!role) {
    return Fail(role.error());
  }
  if (result<void> started = (*role)->Start(); !started) {
    return started;
  }
  int signal = 0;
  sigwait(&stop_signals, &signal);
  (*role)->Stop();
  // Suspended coroutines refer to members of the role, and kept connections
  // refer to the threads' I/O contexts. No order of destruction is safe for
  // both, so the process exits without destructors. Spans are flushed already.
  FlushLogs(kLogFlushTimeout);
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
