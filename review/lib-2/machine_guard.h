#ifndef CARDAMOMYARD_REVIEW_LIB_2_MACHINE_GUARD_H_
#define CARDAMOMYARD_REVIEW_LIB_2_MACHINE_GUARD_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness/platform_fleet.h"
#include "record.h"

namespace review {

/// \returns the resident memory of a process in kB; 0 when it has ended.
inline long ResidentKb(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atol(line.c_str() + 6);
    }
  }
  return 0;
}

/// \brief What the platform does to a process that uses more than the
/// `memory-mb` of its settings: it is killed. A process that was killed or has
/// ended is started again after a short delay.
class machine_guard {
 public:
  static constexpr std::chrono::milliseconds kSample{10};
  static constexpr std::chrono::milliseconds kRestartDelay{500};

  machine_guard(cardamomyard::harness::platform_fleet& fleet, record& log)
      : fleet_(&fleet), log_(&log) {}
  ~machine_guard() { Stop(); }
  machine_guard(const machine_guard&) = delete;
  machine_guard& operator=(const machine_guard&) = delete;

  /// Watches a process from now on. \p host must outlive the guard.
  void Watch(cardamomyard::harness::platform_fleet::host& host,
             long memory_mb) {
    threads_.emplace_back([this, &host, memory_mb] {
      while (!stopped_) {
        const long used = ResidentKb(host.process->pid());
        {
          const std::lock_guard lock(mutex_);
          peak_kb_[host.name] = std::max(peak_kb_[host.name], used);
        }
        const bool ended = !host.process->Running();
        if (ended) {
          log_->Line("platform",
                     "the process of " + host.name + " has ended by itself");
        }
        if (used > memory_mb * 1024) {
          log_->Line("platform",
                     host.name + " uses " + std::to_string(used) + " kB of " +
                         std::to_string(memory_mb * 1024) + " kB: killed");
          host.process->Kill();
        }
        if (ended || used > memory_mb * 1024) {
          std::this_thread::sleep_for(kRestartDelay);
          const std::lock_guard lock(mutex_);
          ++ends_[host.name];
          fleet_->StartAgain(host);
        }
        std::this_thread::sleep_for(kSample);
      }
    });
  }

  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  /// \returns how often the process of each machine ended by itself; that the
  /// memory was exceeded counts.
  std::map<std::string, int> ends() {
    const std::lock_guard lock(mutex_);
    return ends_;
  }
  std::map<std::string, long> peak_kb() {
    const std::lock_guard lock(mutex_);
    return peak_kb_;
  }

 private:
  cardamomyard::harness::platform_fleet* fleet_;
  record* log_;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::map<std::string, int> ends_;
  std::map<std::string, long> peak_kb_;
  std::vector<std::thread> threads_;
};

/// \returns whether the rule Fault is broken: on a tenth of the machines in
/// use, two at least, a process ended by itself three times.
inline bool TooManyEnds(const std::map<std::string, int>& ends,
                        std::size_t machines) {
  const std::size_t limit = std::max<std::size_t>(2, (machines + 9) / 10);
  std::size_t often = 0;
  for (const auto& [name, count] : ends) {
    often += count >= 3 ? 1 : 0;
  }
  return often >= limit;
}

}  // namespace review

#endif  // CARDAMOMYARD_REVIEW_LIB_2_MACHINE_GUARD_H_
