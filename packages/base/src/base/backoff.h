#ifndef CARDAMOMYARD_BASE_BACKOFF_H_
#define CARDAMOMYARD_BASE_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace cardamomyard {

/// \brief Growing, jittered delays between tries of one call.
class backoff {
 public:
  /// \param first  the longest first delay.
  /// \param most  the longest delay at all.
  /// \param seed  processes with different seeds spread their tries.
  backoff(std::chrono::milliseconds first,
          std::chrono::milliseconds most,
          std::uint64_t seed)
      : first_(first), most_(most), limit_(first), random_(seed) {}

  /// \returns a delay between half of the current limit and the limit, which
  /// then doubles.
  std::chrono::milliseconds Next() {
    const std::chrono::milliseconds limit = limit_;
    limit_ = std::min(most_, limit_ * 2);
    std::uniform_int_distribution<std::int64_t> pick(limit.count() / 2,
                                                     limit.count());
    return std::chrono::milliseconds(pick(random_));
  }

  /// Starts again at the first delay; call it after a success.
  void Reset() { limit_ = first_; }

 private:
  std::chrono::milliseconds first_;
  std::chrono::milliseconds most_;
  std::chrono::milliseconds limit_;
  std::mt19937_64 random_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BASE_BACKOFF_H_
