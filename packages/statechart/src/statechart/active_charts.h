#ifndef CARDAMOMYARD_STATECHART_ACTIVE_CHARTS_H_
#define CARDAMOMYARD_STATECHART_ACTIVE_CHARTS_H_

#include <string>

#include "src/statechart/chart_set.h"

namespace cardamomyard {

/// \brief Loads the charts that this process uses from \p folder. Must be
/// called once, before any other thread starts.
/// \returns an error that says why a chart cannot be loaded.
result<void> ActivateCharts(const std::string& folder);

/// \returns the charts of this process. If ActivateCharts() was not called,
/// they are loaded from the folder in the environment variable
/// CARDAMOMYARD_CHARTS, or from "charts" if it is not set. The process aborts
/// with a message if this fails, since no state transition could be decided.
const chart_set& ActiveCharts();

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_STATECHART_ACTIVE_CHARTS_H_
