#ifndef CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_FAULT_RUN_H_
#define CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_FAULT_RUN_H_

#include "customer_run.h"

namespace cardamomyard::measure {

/// \brief Online and batch work while one sidecar is killed, one entry host is
/// frozen and the store is down for ten seconds.
fault_figures RunWithFaults(customer_run& run, const customer& who);

}  // namespace cardamomyard::measure

#endif  // CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_FAULT_RUN_H_
