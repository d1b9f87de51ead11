#ifndef CARDAMOMYARD_NODE_CANCELLED_JOBS_H_
#define CARDAMOMYARD_NODE_CANCELLED_JOBS_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Ids of batch jobs whose cancellation was asked for, as processes pass
/// them on. Items of these jobs do not start. Safe from any thread.
class cancelled_jobs {
 public:
  /// An id is passed on for longer than any sidecar keeps a claim without
  /// reading the job's record.
  static constexpr std::chrono::minutes kPropagationPeriod{10};
  /// An id is remembered for longer than it is passed on. Otherwise two hosts
  /// that drop it at different times would teach it to each other for ever.
  static constexpr std::chrono::minutes kRetentionPeriod{20};

  void Add(const std::string& job, time_point now) {
    const std::lock_guard lock(mutex_);
    std::erase_if(jobs_, [now](const auto& known) {
      return now - known.second >= kRetentionPeriod;
    });
    jobs_.emplace(job, now);
  }

  /// \returns whether the cancel is recent. An old one whose entry host died
  /// before it was durable no longer stops the job.
  bool Contains(const std::string& job, time_point now) const {
    const std::lock_guard lock(mutex_);
    const auto known = jobs_.find(job);
    return known != jobs_.end() && now - known->second < kPropagationPeriod;
  }

  /// \returns the ids to pass on.
  std::vector<std::string> PropagatedIds(time_point now) const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto& [id, learnt] : jobs_) {
      if (now - learnt < kPropagationPeriod) {
        ids.push_back(id);
      }
    }
    return ids;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, time_point> jobs_;  // With the time of learning.
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_CANCELLED_JOBS_H_
