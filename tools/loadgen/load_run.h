#ifndef CARDAMOMYARD_TOOLS_LOADGEN_LOAD_RUN_H_
#define CARDAMOMYARD_TOOLS_LOADGEN_LOAD_RUN_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "cardamomyard/net.h"
#include "load_profile.h"
#include "recorder.h"

namespace cardamomyard::loadgen {

struct run_options {
  std::vector<host_address> targets;
  std::size_t threads = 2;
  std::size_t max_in_flight = 5000;
  /// Time for the last answers after the last request.
  std::chrono::milliseconds drain{30'000};
};

/// Runs the whole profile. \returns one summary per caller, in their order.
result<std::vector<caller_summary>> RunLoad(const load_profile& profile,
                                            const run_options& options);

}  // namespace cardamomyard::loadgen

#endif  // CARDAMOMYARD_TOOLS_LOADGEN_LOAD_RUN_H_
