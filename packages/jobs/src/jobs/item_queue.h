#ifndef CARDAMOMYARD_JOBS_ITEM_QUEUE_H_
#define CARDAMOMYARD_JOBS_ITEM_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Limits of a batch route for one item.
struct item_limits {
  int max_attempts = 1;
  /// When the results are due.
  time_point due;
  /// When the item fails if it is not completed.
  time_point expires;
  friend bool operator==(const item_limits&, const item_limits&) = default;
};

/// \brief Bounds that a batch route sets for its items; a time of zero stands
/// for the default of 24 hours.
struct route_bounds {
  int max_attempts = 1;
  std::chrono::milliseconds completion_objective{0};
  std::chrono::milliseconds retention{0};
};

/// \brief The age of a job as far as a worker knows it.
struct job_age {
  time_point now;
  time_point first_seen;  ///< When this worker first saw it; the job is older.
  /// Age by the wall clocks of two hosts, each of which may jump.
  std::chrono::milliseconds by_wall_time{0};
};

/// \brief Computes the limits of the items of a job.
///
/// The due time follows from the larger of both ages, since a worker that
/// started after the job was submitted knows only the wall time. The expiry
/// follows from the time since this worker first saw the job, so that no item
/// expires too early.
item_limits LimitsOf(const route_bounds& bounds, const job_age& age);

/// \brief How long a finished result waits to be stored together with others of
/// its job.
///
/// With many jobs whose items finish one after the other, storing each result
/// at once would take one call each to a store that all hosts share. Results
/// that are due soon are stored soon; those of early items wait, and run once
/// more if the worker is lost meanwhile.
std::chrono::milliseconds StoreDelay(time_point due, time_point now);

/// \brief Pause of a worker between two calls to the store for changes of jobs.
///
/// Every worker receives the changes of all jobs, so without a pause the calls
/// of all workers together would grow with jobs times workers. The owner of a
/// job learns of its changes from the gateway that made them; the store's
/// changes are for takeovers and for lost notices. Cancelling a job must stop
/// its items within three seconds all the same.
inline constexpr std::chrono::milliseconds kChangesPause{1000};

/// How a run of an item ended.
enum class item_run_outcome {
  completed,
  failed,       ///< The server ran it and failed.
  impossible,   ///< The server reports that it can never succeed.
  interrupted,  ///< Stopped or broken off; resumes from its last event.
  refused,      ///< The server did not run it.
  unsound,      ///< Broken off at an event that no sound server sends.
};

/// \returns the name of \p run_outcome in logs.
std::string_view Name(item_run_outcome run_outcome);

/// \brief An unfinished item and its progress.
struct queued_item {
  std::string job;
  std::string item;
  std::string route;      ///< Name of the batch route of its job.
  std::size_t index = 0;  ///< Position in the job's input.
  item_limits limits;
  int failures = 0;
  /// Consecutive runs that broke off without an event, up to a bound.
  int runs_without_event = 0;
  /// Consecutive unsound answers without an event, up to a bound.
  int unsound_answers = 0;
  bool running = false;
  std::int64_t last_event = 0;  ///< Id of the last event received.
  bool any_event = false;
  std::string text;  ///< Data of the events received so far.
  time_point not_before;
};

/// \brief The unfinished items of this worker's jobs and their order.
///
/// Designed for more items than slots, due at different times. The item that is
/// due first runs first. Overdue items run last, since items that can still be
/// on time are worth more to their callers.
class item_queue {
 public:
  void Add(queued_item item);
  void RemoveJob(const std::string& job);
  /// Sets the limits of all items of a job.
  void SetLimits(const std::string& job, const item_limits& limits);

  /// \param held_routes  routes whose items have to wait. They hold up no items
  /// of other routes, however early theirs are due.
  /// \returns the item to run next and marks it as running.
  queued_item* TakeNext(time_point now,
                        const std::set<std::string>& held_routes);
  /// \returns the items of a job that are not running.
  std::vector<std::string> Waiting(const std::string& job) const;
  queued_item* Find(const std::string& job, const std::string& item);
  /// Records how a run ended. An item whose runs break off is still owed and
  /// has not caused it, so its delay stays short however often that happens.
  /// One that gets nothing but unsound answers waits longer and longer, so that
  /// it does not occupy slots that others can use.
  /// \param progressed  whether the run delivered an event, or ended for a
  /// reason that is not the server's.
  /// \returns whether the item is finished, and if so whether it completed.
  std::optional<bool> RecordOutcome(queued_item& item,
                                    item_run_outcome run_outcome,
                                    bool progressed,
                                    time_point now);
  void Erase(const std::string& job, const std::string& item);

  /// \returns whether \p a is stopped before \p b, because it loses less: it is
  /// due later, or is due at the same time and has fewer events.
  static bool PreemptedBefore(const queued_item& a, const queued_item& b);

  std::size_t size() const { return items_.size(); }
  std::size_t waiting() const;
  /// \returns items that are past their expiry and are not running.
  std::vector<queued_item*> Expired(time_point now);

 private:
  using key = std::pair<std::string, std::string>;
  std::map<key, queued_item> items_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_JOBS_ITEM_QUEUE_H_
