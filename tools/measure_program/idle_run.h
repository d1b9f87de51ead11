#ifndef CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_IDLE_RUN_H_
#define CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_IDLE_RUN_H_

#include <string>

#include "customer.h"

namespace cardamomyard::measure {

/// \brief Sizes of a fleet without load.
struct idle_size {
  int accounts = 8;
  int entry_hosts = 3;
  int engines = 3;
};

/// \brief Measures processor time, control bytes, store calls and memory of
/// idle processes, from which docs/CAPACITY.md takes its slopes.
/// \returns one line of JSON.
result<std::string> RunIdle(const customer& who, const idle_size& size);

}  // namespace cardamomyard::measure

#endif  // CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_IDLE_RUN_H_
