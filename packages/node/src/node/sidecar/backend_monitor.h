#ifndef CARDAMOMYARD_NODE_SIDECAR_BACKEND_MONITOR_H_
#define CARDAMOMYARD_NODE_SIDECAR_BACKEND_MONITOR_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cardamomyard/routing.h"
#include "src/node/process_context.h"
#include "src/node/sidecar/admission_gate.h"

namespace cardamomyard {

/// \brief Polls the backend server: reads its step time, detects crashes and
/// records the requests that were running at a crash as suspects.
class backend_monitor {
 public:
  backend_monitor(process_context& context,
                  const sidecar_settings& settings,
                  admission_gate& gate);

  /// Polls until the process stops. Runs on the control thread.
  boost::asio::awaitable<void> Run();

  /// \returns whether the backend server answers.
  bool alive() const { return alive_; }
  /// \returns how many starts of the backend server this process has observed,
  /// which identifies the current run; 0 while the server does not answer.
  std::uint64_t run_number() const { return alive_ ? run_count_.load() : 0; }
  duration step_time() const { return duration(step_time_.load()); }

  /// Registers a request that is sent to the backend server.
  void RequestStarted(request_id id,
                      request_fingerprint fingerprint,
                      bool isolated);
  /// If the answer was cut off, call this only after ConfirmCrash().
  void RequestEnded(request_id id);

  /// Probes the backend server after an answer was cut off. The first caller
  /// that finds it down records the running requests as suspects.
  /// \returns whether the server is down.
  boost::asio::awaitable<bool> ConfirmCrash();

  /// Merges suspects reported by other processes.
  /// \returns whether the table changed.
  bool MergeSuspects(const std::vector<suspect_entry>& entries);
  std::vector<suspect_entry> Suspects() const;
  std::optional<suspect_entry> FindSuspect(
      request_fingerprint fingerprint) const;
  void ClearSuspect(request_fingerprint fingerprint);
  /// Sets the callback that runs after a crash was recorded, on any thread.
  void OnCrash(std::function<void()> callback) {
    on_crash_ = std::move(callback);
  }

 private:
  struct running_request {
    request_fingerprint fingerprint = 0;
    bool isolated = false;
  };

  boost::asio::awaitable<bool> Probe();
  void ObserveLoad(const std::string& body);
  void RecordCrash();

  process_context* context_;
  const sidecar_settings* settings_;
  admission_gate* gate_;
  std::atomic<bool> alive_{false};
  std::atomic<std::uint64_t> run_count_{0};
  std::atomic<duration::rep> step_time_{0};
  std::function<void()> on_crash_;
  mutable std::mutex mutex_;
  std::unordered_map<request_id, running_request> running_;
  crash_suspects suspects_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_BACKEND_MONITOR_H_
