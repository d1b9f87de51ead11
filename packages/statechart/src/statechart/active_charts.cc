#include "src/statechart/active_charts.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

namespace cardamomyard {
namespace {

/// \returns the charts set by ActivateCharts(), or null.
std::unique_ptr<const chart_set>& ActivatedCharts() {
  static std::unique_ptr<const chart_set> charts;
  return charts;
}

std::unique_ptr<const chart_set> LoadFromEnvironment() {
  const char* folder = std::getenv("CARDAMOMYARD_CHARTS");
  auto loaded = LoadCharts(folder != nullptr ? folder : "charts");
  if (!loaded) {
    std::fprintf(stderr, "cannot load the state charts: %s\n",
                 loaded.error().message().c_str());
    std::abort();
  }
  return std::make_unique<const chart_set>(std::move(*loaded));
}

}  // namespace

result<void> ActivateCharts(const std::string& folder) {
  auto loaded = LoadCharts(folder);
  if (!loaded) {
    return Fail(loaded.error());
  }
  ActivatedCharts() = std::make_unique<const chart_set>(std::move(*loaded));
  return {};
}

const chart_set& ActiveCharts() {
  if (ActivatedCharts() != nullptr) {
    return *ActivatedCharts();
  }
  // A static local is initialised exactly once, also when several threads make
  // the first call concurrently.
  static const std::unique_ptr<const chart_set> charts = LoadFromEnvironment();
  return *charts;
}

}  // namespace cardamomyard
