#ifndef CARDAMOMYARD_NODE_CANCELLED_JOBS_H_
#define CARDAMOMYARD_NODE_CANCELLED_JOBS_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Batch jobs whose cancellation was requested, by the names that
/// batch_keys::Cancelled gives them and that processes propagate to each other.
/// Items of these jobs do not start. Thread-safe.
class cancelled_jobs {
 public:
  /// Longer than any sidecar keeps a claim without reading the job's record.
  static constexpr std::chrono::minutes kPropagationPeriod{10};
  /// Longer than the propagation period: two hosts that drop an id at different
  /// times would otherwise send it back to each other for ever.
  static constexpr std::chrono::minutes kRetentionPeriod{20};

  void Add(const std::string& job, time_point now) {
    const std::lock_guard lock(mutex_);
    std::erase_if(jobs_, [now](const auto& known) {
      return now - known.second >= kRetentionPeriod;
    });
    jobs_.emplace(job, now);
  }

  /// \returns whether the job's cancellation became known within the
  /// propagation period. An older one whose entry host crashed before storing
  /// it no longer stops the job.
  bool Contains(const std::string& job, time_point now) const {
    const std::lock_guard lock(mutex_);
    const auto known = jobs_.find(job);
    return known != jobs_.end() && now - known->second < kPropagationPeriod;
  }

  /// \returns the ids to propagate to other processes.
  std::vector<std::string> PropagatedIds(time_point now) const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto& [id, known_since] : jobs_) {
      if (now - known_since < kPropagationPeriod) {
        ids.push_back(id);
      }
    }
    return ids;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, time_point> jobs_;  // Value: when it became known.
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_CANCELLED_JOBS_H_
