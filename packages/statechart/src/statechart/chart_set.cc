#include "src/statechart/chart_set.h"

#include <array>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamomyard {

result<chart_set> LoadCharts(const std::string& folder) {
  struct wanted {
    std::string_view name;
    state_chart chart_set::*member;
    std::vector<std::string_view> states;
  };
  const std::array charts{
      wanted{"batch_item",
             &chart_set::batch_item,
             {"pending", "intended", "suspect", "completed", "failed",
              "cancelled"}},
      wanted{"batch_job",
             &chart_set::batch_job,
             {"in_progress", "cancelling", "completed", "cancelled", "failed"}},
      wanted{"backend_server",
             &chart_set::backend_server,
             {"starting", "serving", "draining", "down", "stopped"}},
      wanted{"lease", &chart_set::lease, {"free", "held", "expired"}},
      wanted{"key", &chart_set::key, {"active", "withdrawn"}},
  };
  chart_set set;
  for (const wanted& want : charts) {
    auto chart =
        state_chart::Load(folder + "/" + std::string(want.name) + ".toml");
    if (!chart) {
      return Fail(chart.error());
    }
    for (const std::string_view state : want.states) {
      if (!chart->HasState(state)) {
        return Fail(error_kind::invalid_request,
                    "state chart " + chart->name() + " lacks the state \"" +
                        std::string(state) + "\", which the code uses");
      }
    }
    set.*want.member = std::move(*chart);
  }
  return set;
}

}  // namespace cardamomyard
