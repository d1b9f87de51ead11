#include <gtest/gtest.h>

#include "cardamomyard/telemetry.h"

namespace cardamomyard {
namespace {

// Guards against broken links between the spans of two hops.
TEST(TraceTest, HeaderIsReadBackAndMalformedOnesAreIgnored) {
  const trace_context context = trace_context::New();
  EXPECT_EQ(trace_context::Parse(context.ToHeader()), context);
  EXPECT_EQ(context.Child().trace_id, context.trace_id);
  EXPECT_FALSE(trace_context::Parse(""));
  EXPECT_FALSE(trace_context::Parse("00-" + std::string(32, '0') + "-" +
                                    std::string(16, '1') + "-01"));
}

// Guards against a metrics page that a scraper cannot parse.
TEST(MetricsTest, ExposesTextFormat) {
  metrics_registry registry;
  registry.Counter("requests_total", {{"kind", "a\"b"}}).Add(3);
  for (int i = 1; i <= 1000; ++i) {
    registry.Summary("latency_seconds").Observe(i / 1000.0);
  }
  const std::string text = registry.Expose();
  EXPECT_NE(text.find("# TYPE requests_total counter\n"
                      "requests_total{kind=\"a\\\"b\"} 3\n"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("latency_seconds_count 1000"), std::string::npos) << text;
  EXPECT_NE(text.find("latency_seconds{quantile=\"0.5\"} 0."),
            std::string::npos)
      << text;
}

}  // namespace
}  // namespace cardamomyard
