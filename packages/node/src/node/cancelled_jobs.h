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
  /// An id is kept for longer than any sidecar keeps a claim without reading
  /// the job's record.
  static constexpr std::chrono::minutes kKeep{10};

  void Add(const std::string& job, time_point now) {
    const std::lock_guard lock(mutex_);
    DropExpired(now);
    jobs_.emplace(job, now + kKeep);
  }

  bool Contains(const std::string& job, time_point now) const {
    const std::lock_guard lock(mutex_);
    const auto found = jobs_.find(job);
    return found != jobs_.end() && now < found->second;
  }

  /// \returns the ids that have not expired.
  std::vector<std::string> List(time_point now) {
    const std::lock_guard lock(mutex_);
    DropExpired(now);
    std::vector<std::string> ids;
    for (const auto& [id, expiry] : jobs_) {
      ids.push_back(id);
    }
    return ids;
  }

 private:
  void DropExpired(time_point now) {
    std::erase_if(jobs_, [now](const auto& job) { return job.second <= now; });
  }

  mutable std::mutex mutex_;
  std::map<std::string, time_point> jobs_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_CANCELLED_JOBS_H_
