#ifndef CARDAMOMYARD_LIMITS_STOP_SCHEDULE_H_
#define CARDAMOMYARD_LIMITS_STOP_SCHEDULE_H_

#include <algorithm>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Decides during a planned stop which requests are taken and until when
/// they are answered.
class stop_schedule {
 public:
  /// \param refuse_from  from when on requests that outlast the stop are
  ///                     refused; earlier ones are served.
  /// \param end          when what still runs is cut.
  /// \param margin       how long before \p end the last answers begin.
  static stop_schedule Make(time_point refuse_from,
                            time_point end,
                            duration margin) {
    const time_point last_answer = end - margin;
    return {std::min(refuse_from, last_answer), last_answer, end};
  }

  /// \returns whether a request that lasts until \p deadline at most may be
  /// taken at \p now.
  bool MayTake(time_point now, time_point deadline) const {
    return now < refuse_from_ ||
           (deadline <= last_answer_ && now < last_answer_);
  }

  /// \returns until when a request waits for its answer to begin.
  time_point LimitAnswer(time_point deadline) const {
    return std::min(deadline, last_answer_);
  }

  /// \returns until when an answer that has begun may go on.
  time_point LimitStream(time_point deadline) const {
    return std::min(deadline, end_);
  }

  /// \returns how much of \p wait leaves \p work the time to end.
  duration LimitWait(time_point now, duration wait, duration work) const {
    return std::clamp<duration>(last_answer_ - work - now, duration(0), wait);
  }

  friend bool operator==(const stop_schedule&, const stop_schedule&) = default;

 private:
  stop_schedule(time_point refuse_from, time_point last_answer, time_point end)
      : refuse_from_(refuse_from), last_answer_(last_answer), end_(end) {}

  time_point refuse_from_;
  time_point last_answer_;
  time_point end_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_LIMITS_STOP_SCHEDULE_H_
