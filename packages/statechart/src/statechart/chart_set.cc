#include "src/statechart/chart_set.h"

#include <array>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamomyard {

result<chart_set> LoadCharts(const std::string& folder) {
  struct chart_requirement {
    std::string_view name;
    state_chart chart_set::*member;
    std::vector<std::string_view> states;
  };
  const std::array requirements{
      chart_requirement{"batch_item",
                        &chart_set::batch_item,
                        {"pending", "intended", "suspect", "completed",
                         "failed", "cancelled"}},
      chart_requirement{
          "batch_job",
          &chart_set::batch_job,
          {"in_progress", "cancelling", "completed", "cancelled", "failed"}},
      chart_requirement{"backend_server",
                        &chart_set::backend_server,
                        {"starting", "serving", "draining", "down", "stopped"}},
      chart_requirement{
          "lease", &chart_set::lease, {"free", "held", "expired"}},
      chart_requirement{"key", &chart_set::key, {"active", "withdrawn"}},
  };
  chart_set set;
  for (const chart_requirement& requirement : requirements) {
    auto chart = state_chart::Load(folder + "/" +
                                   std::string(requirement.name) + ".toml");
    if (!chart) {
      return Fail(chart.error());
    }
    for (const std::string_view state : requirement.states) {
      if (!chart->HasState(state)) {
        return Fail(error_kind::invalid_request,
                    "state chart " + chart->name() + " lacks the state \"" +
                        std::string(state) + "\", which the code uses");
      }
    }
    set.*requirement.member = std::move(*chart);
  }
  return set;
}

}  // namespace cardamomyard
