#ifndef CARDAMOMYARD_STATECHART_CHART_SET_H_
#define CARDAMOMYARD_STATECHART_CHART_SET_H_

#include <string>

#include "src/statechart/state_chart.h"

namespace cardamomyard {

/// \brief The state charts that the processes use.
struct chart_set {
  state_chart batch_item;
  state_chart batch_job;
  state_chart backend_server;
  state_chart lease;
  state_chart key;
};

/// \brief Loads the five charts from \p folder and checks that each has the
/// states that the code uses.
result<chart_set> LoadCharts(const std::string& folder);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_STATECHART_CHART_SET_H_
