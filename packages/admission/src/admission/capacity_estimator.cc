#include "src/admission/capacity_estimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cardamomyard {
namespace {

// The last 69 steps carry half of the weight, about 2 s at 30 ms per step.
constexpr double kDecay = 0.99;
// Below this variance of the number of sequences, noise dominates the slope.
constexpr double kMinVariance = 0.25;
constexpr double kMinWeight = 8;
// The capacity approaches the fitted limit gradually; taking it over at once
// would follow the noise of single steps.
constexpr double kFitGain = 0.1;
// An engine may run more sequences again, for instance after long prompts, so
// one more sequence is tried after 1000 steps.
constexpr double kMaxConcurrencyRecovery = 0.001;

}  // namespace

capacity_estimator::capacity_estimator(options chosen)
    : options_(chosen),
      capacity_(chosen.initial),
      max_concurrency_(chosen.max) {
  assert(chosen.initial >= 1 && chosen.max >= chosen.initial &&
         "the initial capacity must be between 1 and the maximum");
}

void capacity_estimator::ObserveStep(duration step_time,
                                     int running,
                                     int waiting) {
  if (running <= 0) {
    return;
  }
  const double seconds = std::chrono::duration<double>(step_time).count();
  const double x = running;
  weight_ = weight_ * kDecay + 1;
  sum_x_ = sum_x_ * kDecay + x;
  sum_y_ = sum_y_ * kDecay + seconds;
  sum_xx_ = sum_xx_ * kDecay + x * x;
  sum_xy_ = sum_xy_ * kDecay + x * seconds;
  highest_running_ = std::max(highest_running_ * kDecay, x);

  const double mean_x = sum_x_ / weight_;
  const double mean_y = sum_y_ / weight_;
  const double variance = sum_xx_ / weight_ - mean_x * mean_x;
  const double slope =
      variance > 0 ? (sum_xy_ / weight_ - mean_x * mean_y) / variance : 0;
  if (weight_ < kMinWeight || variance < kMinVariance || slope <= 0) {
    AdjustByAimd(seconds, running);
  } else {
    fit_ = linear_fit{std::max(0.0, mean_y - slope * mean_x), slope};
    const double target =
        std::chrono::duration<double>(options_.target_step_time).count();
    const double predicted_limit = mean_x + (target - mean_y) / slope;
    const double max_trusted = std::max(capacity_, highest_running_ * 1.25 + 1);
    capacity_ +=
        kFitGain * (std::min(predicted_limit, max_trusted) - capacity_);
  }
  // If the capacity exceeded what the engine runs at once, online requests
  // would wait behind batch items in the engine's own queue.
  max_concurrency_ = waiting > 0
                         ? running
                         : std::min(max_concurrency_ + kMaxConcurrencyRecovery,
                                    static_cast<double>(options_.max));
  capacity_ = std::clamp(capacity_, 1.0, max_concurrency_);
}

std::optional<double> capacity_estimator::Slowdown(int base,
                                                   int running) const {
  if (!fit_) {
    return std::nullopt;
  }
  const auto step = [&](int n) { return fit_->intercept + fit_->slope * n; };
  return step(std::max(1, running)) / step(std::max(1, base));
}

void capacity_estimator::AdjustByAimd(double seconds, int running) {
  const double target =
      std::chrono::duration<double>(options_.target_step_time).count();
  if (seconds > target) {
    capacity_ *= 0.95;
  } else if (running >= capacity()) {
    capacity_ += 0.25;
  }
}

}  // namespace cardamomyard
