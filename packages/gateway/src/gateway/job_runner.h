#ifndef CARDAMOMYARD_GATEWAY_JOB_RUNNER_H_
#define CARDAMOMYARD_GATEWAY_JOB_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/jobs.h"
#include "cardamomyard/wire.h"
#include "src/gateway/active_item.h"
#include "src/gateway/change_signal.h"
#include "src/gateway/host_runtime.h"

namespace cardamomyard {

/// \brief A job that this worker owns, with its stored and unstored results.
struct owned_job {
  stored_job stored;
  time_point first_seen;  ///< When this worker first saw it in the store.
  job_age age;            ///< As of the time when it was loaded.
  time_point due;         ///< Deadline of its completion objective.
  std::shared_ptr<const job_input> input;
  stored_results results;
  /// All stored results by position.
  std::vector<job_item_result> persisted;
  /// Final results that are not stored yet, and how many of them the next write
  /// takes at most.
  std::vector<job_item_result> unstored;
  append_limit write_limit;
  std::set<std::string> settled;  ///< Items with a final result, stored or not.
  bool is_new = false;  ///< No results can be stored yet, so none are read.
  bool loaded = false;
  bool route_missing = false;  ///< Waits until its route is known.
  bool flushing = false;
  /// Pauses of the items whose result the store refused.
  std::map<std::string, backoff> refused;
  /// Notified when results are stored.
  std::unique_ptr<change_signal> results_changed;
};

/// \brief Runs the items of the jobs that this worker owns and stores their
/// results. Used on the traffic thread only.
class job_runner {
 public:
  explicit job_runner(host_runtime& host);

  /// Adds a job that this worker owns, or updates it to a newer record.
  /// \param is_new  whether the job was just created, so that no results of it
  /// can be stored.
  void AddOrUpdate(stored_job job, time_point first_seen, bool is_new);
  /// Stops and forgets a job that another worker owns or that was removed.
  void Drop(const std::string& job);
  /// Starts items at servers with free slots and stops items at servers whose
  /// slots online requests need.
  void Schedule();
  /// Applies the limits of a new configuration to the open items.
  void UpdateLimits();
  /// Stops all running items without recording results for them.
  void StopAll();
  bool idle() const;

  owned_job* Find(const std::string& job);
  /// \returns whether any job is unfinished.
  bool has_open_jobs() const;
  std::vector<batch_backlog> Backlogs() const;

 private:
  boost::asio::awaitable<void> Load(std::string job);
  boost::asio::awaitable<void> Run(std::shared_ptr<active_item> run,
                                   std::shared_ptr<const job_input> input,
                                   const job_item* item,
                                   queued_item progress,
                                   std::string route_host,
                                   std::string account);
  boost::asio::awaitable<void> Flush(std::string job);
  /// How Flush() goes on after a write.
  enum class flush_step { at_once, after_delay, stop };
  /// Loads a job again to which another worker stored results.
  void Reload(const std::string& job);
  boost::asio::awaitable<void> Finish(std::string job);
  void RecordResult(owned_job& job, job_item_result entry);
  /// What Flush() does after the store has refused \p results for good: tries
  /// fewer of them, or runs the item of a single one again. Puts back what is
  /// still to be stored.
  boost::asio::awaitable<flush_step> IsolateRefused(
      std::string job,
      std::vector<job_item_result> results);
  /// Runs the item of a result again that the store does not take.
  void RunAgain(owned_job& job, const std::string& item);
  queued_item OpenItem(const owned_job& job, std::size_t index) const;
  void StopCancelled(owned_job& job);
  void StopExcess(const std::vector<backend_status>& servers);
  /// What one pass of Schedule() has found.
  struct schedule_pass {
    time_point now;
    std::vector<std::string> workers;
    /// Services without a server that can take an item.
    std::set<std::string> full_services;
    /// Routes whose items have to wait.
    std::set<std::string> held_routes;
  };
  /// Starts or fails the item that is due first among the routes that are not
  /// held, or holds its route. \returns false when no item is left.
  bool HandleNextItem(schedule_pass& pass);
  /// \returns a server that can take an item of \p route now.
  std::optional<backend_status> ChooseServer(const service_route& route,
                                             const allowed_zones& zones,
                                             schedule_pass& pass);
  /// Holds all batch routes whose services are full.
  void HoldFullRoutes(schedule_pass& pass) const;
  /// \returns the tightest latency objective of the online routes to a service.
  static std::chrono::milliseconds TightestObjective(
      const service_map& configuration,
      const std::string& service);
  /// \returns the names of the live workers, including this one.
  std::vector<std::string> LiveWorkers(time_point now) const;
  void FailExpiredItems(time_point now);
  void EnqueueOpenItems(owned_job& job);
  /// \returns the route of a job; nothing while it is not configured.
  const service_route* RouteOf(const owned_job& job) const;
  item_limits LimitsOfItems(const owned_job& job) const;
  /// Fails the waiting items of a job whose route was removed. Holds a route
  /// that this worker may not know yet, and reads the configuration.
  void HandleMissingRoute(owned_job& job, schedule_pass& pass);
  boost::asio::awaitable<void> ReadConfiguration();

  host_runtime* host_;
  part_log log_{"worker"};
  std::map<std::string, std::unique_ptr<owned_job>> jobs_;
  batch_placement placement_;
  item_queue queue_;
  std::map<std::pair<std::string, std::string>, std::shared_ptr<active_item>>
      active_items_;
  bool stopping_ = false;
  bool reading_configuration_ = false;
  std::uint64_t next_service_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_JOB_RUNNER_H_
