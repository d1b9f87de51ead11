#ifndef CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_ADMISSION_FIGURES_H_
#define CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_ADMISSION_FIGURES_H_

#include <cstddef>
#include <vector>

#include "cardamomyard/limits.h"
#include "recorder.h"

namespace cardamomyard::measure {

/// \brief How the requests of one client account were admitted.
struct admission_figures {
  /// Most admitted in any window over rate x window + burst. A request counts
  /// in a window that contains both its sending and the head of its answer,
  /// so that delays outside the system never raise it.
  double overrun = 0;
  /// Requests sent while an exact bucket of the admitted requests had a token.
  std::size_t inside_rate = 0;
  /// Those of them that were refused as `not_run`.
  std::size_t wrongly_refused = 0;
  /// Requests that an exact bucket over the whole fleet would have admitted.
  std::size_t fair_share = 0;
  std::size_t served = 0;
};

/// \param samples  all requests of the account in one run, in any order.
/// \param limits  its bucket is full at the start of the run.
admission_figures FiguresOf(std::vector<loadgen::call_sample> samples,
                            const account_limits& limits);

}  // namespace cardamomyard::measure

#endif  // CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_ADMISSION_FIGURES_H_
