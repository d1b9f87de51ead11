#include <gtest/gtest.h>

#include <sstream>

#include "cardamomctl/log_timeline.h"

namespace cardamomyard::ctl {
namespace {

std::string Line(const std::string& second,
                 const std::string& host,
                 const std::string& message,
                 const std::string& fields) {
  return R"({"time":"2026-12-04T09:00:)" + second +
         R"(+00:00","level":"info","host":")" + host +
         R"(","part":"online","message":")" + message + "\"" +
         (fields.empty() ? "" : "," + fields) + "}\n";
}

std::vector<std::string> Messages(const log_timeline& timeline) {
  std::vector<std::string> messages;
  for (const log_line& line : timeline.Lines()) {
    messages.push_back(line.source + ": " + line.message);
  }
  return messages;
}

// Guards against a time line that misses a process, is out of order or mixes in
// requests whose ids begin alike.
TEST(LogTimeline, JoinsProcessesInOrderOfTime) {
  std::istringstream one(
      Line("05.000", "edge-1", "ended", R"("request":"r1","servers":"s1,s2")") +
      Line("02.000", "edge-1", "refused", R"("request":"r1","backend":"s1")") +
      Line("03.000", "edge-1", "other", R"("request":"r12")") + "no json\n");
  std::istringstream two(
      Line("01.000", "edge-2", "entry ready", R"("backend":"s1")") +
      Line("01.500", "edge-2", "entry draining", R"("backend":"s1")") +
      Line("04.000", "edge-2", "unreachable", R"("backend":"s2")") +
      Line("04.100", "edge-2", "unreachable", R"("backend":"s3")") +
      Line("06.000", "edge-2", "gone", R"("backend":"s2")"));
  log_timeline timeline("r1");
  timeline.Read(one, "a.log");
  timeline.Read(two, "b.log");
  EXPECT_EQ(Messages(timeline), (std::vector<std::string>{
                                    "edge-2: entry draining", "edge-1: refused",
                                    "edge-2: unreachable", "edge-1: ended"}));
  EXPECT_EQ(timeline.unreadable(), 1U);
}

TEST(LogTimeline, UnknownIdHasNoLines) {
  std::istringstream log(Line("01.000", "edge-1", "x", R"("request":"r1")"));
  log_timeline timeline("r2");
  timeline.Read(log, "a.log");
  EXPECT_TRUE(timeline.Lines().empty());
}

}  // namespace
}  // namespace cardamomyard::ctl
