#ifndef CARDAMOMYARD_TELEMETRY_H_
#define CARDAMOMYARD_TELEMETRY_H_

/// \file
/// Public header of the package telemetry: logs, metrics and trace spans.

#include "src/telemetry/end_on_exception.h"
#include "src/telemetry/log.h"
#include "src/telemetry/metrics.h"
#include "src/telemetry/trace.h"

#endif  // CARDAMOMYARD_TELEMETRY_H_
