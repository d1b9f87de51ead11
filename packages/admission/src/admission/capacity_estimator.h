#ifndef CARDAMOMYARD_ADMISSION_CAPACITY_ESTIMATOR_H_
#define CARDAMOMYARD_ADMISSION_CAPACITY_ESTIMATOR_H_

#include <optional>

#include "src/base/clock.h"

namespace cardamomyard {

/// \brief Learns how many sequences a backend server runs within the target
/// step time.
///
/// Additive increase and multiplicative decrease needs no model, but it finds
/// the limit only by exceeding it again and again, and each time every running
/// stream is slow. The step time of continuous batching is close to a line in
/// the number of sequences, so a fitted line predicts the limit. The line is
/// used when the observed numbers differ enough to fit it, and is trusted only
/// a quarter beyond the highest recent number; otherwise the capacity moves in
/// additive and multiplicative steps.
class capacity_estimator {
 public:
  struct options {
    duration target_step = std::chrono::milliseconds(40);
    int initial = 8;
    int max = 256;
  };

  capacity_estimator() : capacity_estimator(options{}) {}
  explicit capacity_estimator(options chosen);

  /// \param step_time  duration of one step of the engine.
  /// \param running  sequences that took part in it; steps of none are ignored.
  /// \param waiting  sequences that the engine holds back although it has them.
  /// They show that \p running is the most that it runs at once.
  void ObserveStep(duration step_time, int running, int waiting = 0);
  /// \returns the capacity, at least 1.
  int capacity() const { return static_cast<int>(capacity_); }
  /// \returns the step time with \p running sequences relative to that with
  /// \p base, by the last line that could be fitted; nothing before the first.
  std::optional<double> Slowdown(int base, int running) const;

 private:
  void MoveInSteps(double seconds, int running);

  struct line {
    double offset;  ///< Seconds at no sequence, at least 0.
    double slope;   ///< Seconds for each sequence, above 0.
  };

  options options_;
  double capacity_;
  /// The most sequences that the engine was seen to run at once.
  double ceiling_;
  std::optional<line> line_;
  // Exponentially weighted sums of the least squares fit.
  double weight_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
  double highest_running_ = 0;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ADMISSION_CAPACITY_ESTIMATOR_H_
