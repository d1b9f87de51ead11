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

// Guards against buckets that do not add up, and against a value at a bound
// that counts for the next bucket.
TEST(MetricsTest, HistogramBucketsAreCumulative) {
  metrics_registry registry;
  metric_histogram& latency =
      registry.Histogram("request_seconds", {{"route", "ask"}});
  for (const int ms : {0, 5, 6, 300, 301, 60'000}) {
    latency.Observe(std::chrono::milliseconds(ms));
  }
  const std::string text = registry.Expose();
  const auto has = [&text](const std::string& line) {
    return text.find(line + "\n") != std::string::npos;
  };
  const std::string bucket = "request_seconds_bucket{le=\"";
  EXPECT_TRUE(has("# TYPE request_seconds histogram")) << text;
  EXPECT_TRUE(has(bucket + "0.005\",route=\"ask\"} 2")) << text;
  EXPECT_TRUE(has(bucket + "0.01\",route=\"ask\"} 3")) << text;
  EXPECT_TRUE(has(bucket + "0.3\",route=\"ask\"} 4")) << text;
  EXPECT_TRUE(has(bucket + "20\",route=\"ask\"} 5")) << text;
  EXPECT_TRUE(has(bucket + "+Inf\",route=\"ask\"} 6")) << text;
  EXPECT_TRUE(has("request_seconds_count{route=\"ask\"} 6")) << text;
}

}  // namespace
}  // namespace cardamomyard
