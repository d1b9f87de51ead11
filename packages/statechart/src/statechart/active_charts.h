#ifndef CARDAMOMYARD_STATECHART_ACTIVE_CHARTS_H_
#define CARDAMOMYARD_STATECHART_ACTIVE_CHARTS_H_

#include <string>

#include "src/statechart/chart_set.h"

namespace cardamomyard {

/// \brief Loads the charts that this process interprets. Call it once, before
/// any other thread starts.
/// \returns why a chart in \p folder cannot be used.
result<void> ActivateCharts(const std::string& folder);

/// \returns the charts of this process. Without ActivateCharts() they come from
/// the folder that the environment variable CARDAMOMYARD_CHARTS names; the
/// process ends with a message when that fails, since no transition could be
/// decided.
const chart_set& ActiveCharts();

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_STATECHART_ACTIVE_CHARTS_H_
