#ifndef CARDAMOMYARD_BASE_CLOCK_H_
#define CARDAMOMYARD_BASE_CLOCK_H_

#include <atomic>
#include <chrono>

namespace cardamomyard {

/// Steady time that also counts while the host is suspended.
using time_point = std::chrono::time_point<std::chrono::steady_clock,
                                           std::chrono::nanoseconds>;
using duration = std::chrono::nanoseconds;
/// Wall time, used only in records and signatures.
using wall_time = std::chrono::system_clock::time_point;

/// \brief Source of time, passed to everything that depends on it.
class clock {
 public:
  virtual ~clock() = default;
  virtual time_point Now() const = 0;
  virtual wall_time WallNow() const = 0;
};

/// \brief The host's clock. Steady time comes from CLOCK_BOOTTIME so that a
/// lease also lapses while the host is suspended.
class host_clock final : public clock {
 public:
  time_point Now() const override;
  wall_time WallNow() const override;
};

/// \brief A clock that moves only when told; safe to read from any thread.
class manual_clock final : public clock {
 public:
  time_point Now() const override;
  wall_time WallNow() const override;
  void Advance(duration step);

 private:
  // Starts at one hour so that "now - timeout" never precedes the epoch.
  std::atomic<duration::rep> elapsed_{duration(std::chrono::hours(1)).count()};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BASE_CLOCK_H_
