#include <gtest/gtest.h>

#include <cstdlib>

#include "cardamomyard/statechart.h"

namespace cardamomyard {
namespace {

std::string Transition(const std::string& from, const std::string& to) {
  return "[[transition]]\nfrom = \"" + from + "\"\nevent = \"go\"\nto = \"" +
         to + "\"\n";
}

constexpr const char* kStates =
    "[state.a]\ninitial = true\n[state.b]\nfinal = true\n";

// An error in a chart is otherwise found only when a request triggers the
// affected transition.
TEST(StateChartTest, ParseReportsInvalidCharts) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {kStates + Transition("a", "c"), "unknown state \"c\""},
      {kStates, "state \"b\" is unreachable"},
      {kStates + Transition("a", "b") + Transition("a", "a"),
       "duplicate transition from \"a\" on \"go\""},
      {"[state.a]\n", "no initial state"},
      {"[state.a]\ninitial = true\n[state.b]\ninitial = true\n",
       "two initial states"},
      {kStates + Transition("a", "b") + Transition("b", "a"),
       "final state \"b\" has an outgoing transition"},
      {"[state.a\n", "line 1"},
  };
  for (const auto& [text, message] : cases) {
    const auto chart = state_chart::Parse(text);
    ASSERT_FALSE(chart) << text;
    EXPECT_NE(chart.error().message().find(message), std::string::npos)
        << chart.error().message();
  }
}

// The charts in the repository must load: a missing state or a transition out
// of a final state would keep the processes from starting.
TEST(StateChartTest, ShippedChartsLoad) {
  const char* folder = std::getenv("CARDAMOMYARD_CHARTS");
  ASSERT_NE(folder, nullptr);
  const auto charts = LoadCharts(folder);
  ASSERT_TRUE(charts) << charts.error().message();
  EXPECT_EQ(charts->batch_job.initial(), "in_progress");
  EXPECT_EQ(charts->batch_item.Next("pending", "complete"), "completed");
  // An item that may have run must not become pending again when the holder of
  // its lease is gone.
  EXPECT_EQ(charts->batch_item.Next("intended", "lapse"), "failed");
  EXPECT_EQ(charts->key.Next("withdrawn", "withdraw").error().kind(),
            error_kind::conflict);
  EXPECT_TRUE(charts->key.IsFinal("withdrawn"));
}

// A worker that has lost its lease may still report a cancelled job as
// finished; the job must not become completed.
TEST(StateChartTest, Rule02_CancellingJobNeverCompletes) {
  const auto charts = LoadCharts(std::getenv("CARDAMOMYARD_CHARTS"));
  ASSERT_TRUE(charts);
  EXPECT_FALSE(charts->batch_job.Next("cancelling", "finish"));
  EXPECT_FALSE(charts->batch_job.Next("cancelled", "finish"));
}

}  // namespace
}  // namespace cardamomyard
