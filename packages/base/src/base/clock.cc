#include "src/base/clock.h"

#include <ctime>

namespace cardamomyard {

time_point host_clock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

wall_time host_clock::WallNow() const {
  return std::chrono::system_clock::now();
}

time_point manual_clock::Now() const {
  return time_point(duration(elapsed_.load()));
}

wall_time manual_clock::WallNow() const {
  constexpr std::chrono::hours kOffset{24 * 365 * 50};
  return wall_time(std::chrono::duration_cast<wall_time::duration>(
      duration(elapsed_.load()) + kOffset));
}

void manual_clock::Advance(duration step) {
  elapsed_ += step.count();
}

}  // namespace cardamomyard
