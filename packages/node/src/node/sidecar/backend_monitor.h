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

/// \brief Watches the backend server: learns its step time, notices its death
/// and names the requests that were running then.
class backend_monitor {
 public:
  backend_monitor(process_context& context,
                  const sidecar_settings& settings,
                  admission_gate& gate);

  /// Polls until the process stops. Runs on the control thread.
  boost::asio::awaitable<void> Run();

  /// \returns whether the backend server answers.
  bool alive() const { return alive_; }
  /// \returns the number of the present run of the backend server as this
  /// process has seen them; 0 while it does not answer.
  std::uint64_t run() const { return alive_ ? runs_.load() : 0; }
  duration step_time() const { return duration(step_time_.load()); }

  /// Registers a request that is sent to the backend server.
  void RequestStarted(request_id id, request_fingerprint print, bool isolated);
  /// Call it after ConfirmDeath() when the request was cut.
  void RequestEnded(request_id id);

  /// Probes the backend server after a cut answer. The first caller that finds
  /// it dead records the requests that were running as suspects.
  /// \returns whether the server is dead.
  boost::asio::awaitable<bool> ConfirmDeath();

  /// Merges what other processes know. \returns whether anything was new.
  bool MergeSuspects(const std::vector<suspect_entry>& entries);
  std::vector<suspect_entry> Suspects() const;
  std::optional<suspect_entry> FindSuspect(request_fingerprint print) const;
  void RecordSurvival(request_fingerprint print);
  /// Called from any thread when suspects were recorded.
  void OnDeath(std::function<void()> callback) {
    on_death_ = std::move(callback);
  }

 private:
  struct running_request {
    request_fingerprint print = 0;
    bool isolated = false;
  };

  boost::asio::awaitable<bool> Probe();
  void ObserveLoad(const std::string& body);
  void RecordDeath();

  process_context* context_;
  const sidecar_settings* settings_;
  admission_gate* gate_;
  std::atomic<bool> alive_{false};
  std::atomic<std::uint64_t> runs_{0};
  std::atomic<duration::rep> step_time_{0};
  std::function<void()> on_death_;
  mutable std::mutex mutex_;
  std::unordered_map<request_id, running_request> running_;
  crash_suspects suspects_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_BACKEND_MONITOR_H_
