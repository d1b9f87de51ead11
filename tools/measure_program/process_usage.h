#ifndef CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_PROCESS_USAGE_H_
#define CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_PROCESS_USAGE_H_

#include <sys/types.h>

#include <string>

#include "harness/test_client.h"

namespace cardamomyard::measure {

/// \brief Processor time, traffic of control and memory of one process so far.
struct process_usage {
  double cpu_seconds = 0;
  double control_bytes = 0;  ///< Internal control messages and store calls.
  double resident_mb = 0;
};

/// \returns processor time and memory of \p pid, without its traffic.
process_usage ReadUsage(pid_t pid);

/// \param metrics  where the process exposes its metrics.
process_usage ReadUsage(harness::test_client& http,
                        pid_t pid,
                        const host_address& metrics);

/// \returns the sum of the metric \p name over all labels in \p exposition.
double SumOfMetric(const std::string& exposition, const std::string& name);

}  // namespace cardamomyard::measure

#endif  // CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_PROCESS_USAGE_H_
