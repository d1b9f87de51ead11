#ifndef CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_GATEWAY_RUN_H_
#define CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_GATEWAY_RUN_H_

#include <string>

#include "cardamomyard/base.h"

namespace cardamomyard::measure {

/// \brief Measures what an idle gateway and worker use, and the processor time
/// of a gateway for one request and for one token event, with real processes
/// beside the stand-in of the users' platform.
/// \returns one line of JSON: processor shares of one core, memory in MiB,
/// costs in microseconds.
result<std::string> RunGateway();

}  // namespace cardamomyard::measure

#endif  // CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_GATEWAY_RUN_H_
