#ifndef CARDAMOMYARD_STATECHART_H_
#define CARDAMOMYARD_STATECHART_H_

/// \file
/// Public header of the package statechart: state charts read from files.

#include "src/statechart/active_charts.h"
#include "src/statechart/chart_set.h"
#include "src/statechart/state_chart.h"

#endif  // CARDAMOMYARD_STATECHART_H_
