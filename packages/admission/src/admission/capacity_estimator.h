#ifndef CARDAMOMYARD_ADMISSION_CAPACITY_ESTIMATOR_H_
#define CARDAMOMYARD_ADMISSION_CAPACITY_ESTIMATOR_H_

#include <optional>

#include "src/base/clock.h"

namespace cardamomyard {

/// \brief Estimates how many sequences a backend server can run within the
/// target step time.
///
/// Additive increase, multiplicative decrease (AIMD) needs no model, but finds
/// the limit only by exceeding it repeatedly, which slows every running stream.
/// The step time of continuous batching is nearly linear in the number of
/// sequences, so the limit is predicted by a least squares fit. The fit is used
/// if the observed numbers of sequences vary enough, and is extrapolated at
/// most a quarter beyond the highest recent number; otherwise AIMD applies.
class capacity_estimator {
 public:
  struct options {
    duration target_step_time = std::chrono::milliseconds(40);
    int initial = 8;
    int max = 256;
  };

  capacity_estimator() : capacity_estimator(options{}) {}
  explicit capacity_estimator(options chosen);

  /// \param step_time  duration of one engine step.
  /// \param running  sequences in the step; a step without any is ignored.
  /// \param waiting  sequences in the engine's own queue. If there are any,
  /// \p running is the most that the engine runs at once.
  void ObserveStep(duration step_time, int running, int waiting = 0);
  /// \returns the estimated capacity in sequences, at least 1.
  int capacity() const { return static_cast<int>(capacity_); }
  /// \returns the predicted step time with \p running sequences relative to
  /// that with \p base, by the latest fit; nothing before the first fit.
  std::optional<double> Slowdown(int base, int running) const;

 private:
  void AdjustByAimd(double seconds, int running);

  struct linear_fit {
    double intercept;  ///< Seconds with no sequence, at least 0.
    double slope;      ///< Seconds per sequence, above 0.
  };

  options options_;
  double capacity_;
  /// Estimate of the most sequences that the engine runs at once.
  double max_concurrency_;
  std::optional<linear_fit> fit_;
  // Exponentially weighted sums of the least squares fit; x is the number of
  // sequences, y the step time in seconds.
  double weight_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
  double highest_running_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_CAPACITY_ESTIMATOR_H_
