#include "admission_figures.h"

#include <gtest/gtest.h>

namespace cardamomyard::measure {
namespace {

using loadgen::call_sample;

call_sample Answered(double sent, double answered) {
  return {sent, answered, 200, true, ""};
}

call_sample Limited(double sent) {
  return {sent, sent, 429, false, "not_run"};
}

// Guards against a measurement that takes every refusal for a wrongful one.
TEST(AdmissionFigures, RefusalsBeyondTheBurstAreRight) {
  const admission_figures figures = FiguresOf(
      {Answered(0, 0), Answered(0, 0), Limited(0.1), Answered(1, 1)}, {1, 2});
  EXPECT_EQ(figures.inside_rate, 3U);
  EXPECT_EQ(figures.wrongly_refused, 0U);
  EXPECT_EQ(figures.fair_share, 3U);
  EXPECT_EQ(figures.served, 3U);
}

// Guards against a measurement that misses refusals of a fixed split.
TEST(AdmissionFigures, RefusalWithTokensLeftIsWrongful) {
  const admission_figures figures =
      FiguresOf({Answered(0, 0), Limited(0.1)}, {1, 2});
  EXPECT_EQ(figures.inside_rate, 2U);
  EXPECT_EQ(figures.wrongly_refused, 1U);
  EXPECT_EQ(figures.fair_share, 2U);
  EXPECT_EQ(figures.served, 1U);
}

// Guards against tokens that a waiting request has taken being counted twice.
TEST(AdmissionFigures, WaitingRequestTakesItsTokenInAdvance) {
  const admission_figures figures = FiguresOf(
      {Answered(0, 0), Answered(0.9, 1), Limited(1.5), Answered(2, 2)}, {1, 1});
  EXPECT_EQ(figures.inside_rate, 2U);
  EXPECT_EQ(figures.wrongly_refused, 0U);
}

// Guards against windows that start only with the run: the excess is late.
TEST(AdmissionFigures, OverrunIsFoundInAnyWindow) {
  std::vector<call_sample> samples{Answered(0, 0)};
  for (int i = 0; i < 6; ++i) {
    samples.push_back(Answered(100, 101));
  }
  EXPECT_DOUBLE_EQ(FiguresOf(samples, {1, 2}).overrun, 2);
}

// Guards against counting a delay on the way as an excess.
TEST(AdmissionFigures, RequestsThatReachOverTheWindowDoNotCount) {
  EXPECT_DOUBLE_EQ(
      FiguresOf({Answered(0, 3), Answered(2.9, 3)}, {1, 1}).overrun, 1 / 1.1);
}

}  // namespace
}  // namespace cardamomyard::measure
