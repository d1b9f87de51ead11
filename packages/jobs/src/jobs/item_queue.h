#ifndef CARDAMOMYARD_JOBS_ITEM_QUEUE_H_
#define CARDAMOMYARD_JOBS_ITEM_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
  /// When the item may be given up.
  time_point expires;
  friend bool operator==(const item_limits&, const item_limits&) = default;
};

/// \brief What a batch route says of its items; zero stands for no bound.
struct route_bounds {
  int max_attempts = 1;
  std::chrono::milliseconds completion_objective{0};
  std::chrono::milliseconds retention{0};
};

/// \brief What a worker knows of the age of a job.
struct job_age {
  time_point now;
  time_point first_seen;  ///< When this worker first saw it; it is older.
  /// By the wall clocks of two hosts, each of which may jump.
  std::chrono::milliseconds by_wall_time{0};
};

/// \brief Sets the limits of the items of a job.
///
/// Items are ordered by the larger of both ages, since a worker that started
/// after the job has only the wall time. They are given up by the time that
/// this worker has seen pass, which is never too early.
item_limits LimitsOf(const route_bounds& bounds, const job_age& age);

/// \brief How long a finished result waits for others of its job.
///
/// The load this answers: many jobs whose items finish one after the other,
/// each of them a call to a store that all hosts share. Results that are due
/// soon are stored soon; those of early items wait, and a loss of the worker
/// meanwhile costs one more run of them.
std::chrono::milliseconds StoreDelay(time_point due, time_point now);

/// \brief How long a worker waits between two calls for changes of jobs.
///
/// Every worker receives the changes of all jobs, so the calls of all workers
/// together would grow with jobs times workers. With this pause they stay below
/// a bounded number a second until the pause reaches its limit.
std::chrono::milliseconds ChangesPause(std::size_t workers);

/// How a run of an item ended.
enum class item_run_outcome {
  completed,
  failed,       ///< The server ran it and failed.
  impossible,   ///< The server says that it can never be done.
  interrupted,  ///< Stopped or broken off; it goes on from its last event.
  refused,      ///< It has not run.
};

/// \returns the name of \p ending in logs.
std::string_view Name(item_run_outcome ending);

/// \brief Where an item of an open job stands.
struct queued_item {
  std::string job;
  std::string item;
  std::size_t index = 0;  ///< Position in the job's input.
  item_limits limits;
  int failures = 0;
  int runs_without_event =
      0;  ///< Runs in a row that broke off without an event.
  bool running = false;
  std::int64_t last_event = 0;  ///< Id of the last event received.
  bool any_event = false;
  std::string text;  ///< Data of the events received so far.
  time_point not_before;
};

/// \brief The unfinished items of this worker's jobs and their order.
///
/// The load this answers: more items than slots, due at different times. The
/// item that is due first runs first; items whose time is up run last, since
/// those that can still be on time are worth more to their callers.
class item_queue {
 public:
  void Add(queued_item item);
  void RemoveJob(const std::string& job);

  /// \returns the item to run next and marks it as running.
  queued_item* TakeNext(time_point now);
  queued_item* Find(const std::string& job, const std::string& item);
  /// Records how a run ended. \returns whether the item is finished, and if so
  /// whether it completed.
  std::optional<bool> RecordOutcome(queued_item& item,
                                    item_run_outcome ending,
                                    time_point now);
  void Erase(const std::string& job, const std::string& item);

  /// \returns the item that loses least when it is stopped: the one that is
  /// due last, and of these the one with the fewest events.
  static bool PreemptedBefore(const queued_item& a, const queued_item& b);

  std::size_t size() const { return items_.size(); }
  std::size_t waiting() const;
  /// \returns items that are past \p expires and are not running.
  std::vector<queued_item*> Expired(time_point now);

 private:
  using key = std::pair<std::string, std::string>;
  std::map<key, queued_item> items_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_JOBS_ITEM_QUEUE_H_
