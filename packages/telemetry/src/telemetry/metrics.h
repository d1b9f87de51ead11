#ifndef CARDAMOMYARD_TELEMETRY_METRICS_H_
#define CARDAMOMYARD_TELEMETRY_METRICS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace cardamomyard {

/// Labels of a metric, by name.
using metric_labels = std::map<std::string, std::string>;

/// \brief A count that only grows, or a value that is set.
class metric_value {
 public:
  void Add(std::int64_t amount = 1) { value_ += amount; }
  void Set(std::int64_t value) { value_ = value; }
  std::int64_t value() const { return value_; }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// \brief Count, sum and quantiles of observed values (Boost.Accumulators).
class metric_summary {
 public:
  metric_summary();
  ~metric_summary();
  metric_summary(const metric_summary&) = delete;
  metric_summary& operator=(const metric_summary&) = delete;

  void Observe(double value);
  /// \returns lines of the text exposition format.
  std::string Expose(const std::string& name,
                     const metric_labels& labels) const;

 private:
  struct accumulators;
  mutable std::mutex mutex_;
  std::unique_ptr<accumulators> accumulators_;
};

/// \brief Counts of observed durations by bucket (Boost.Histogram).
class metric_histogram {
 public:
  metric_histogram();
  ~metric_histogram();
  metric_histogram(const metric_histogram&) = delete;
  metric_histogram& operator=(const metric_histogram&) = delete;

  void Observe(std::chrono::milliseconds value);
  /// \returns lines of the text exposition format, in seconds.
  std::string Expose(const std::string& name,
                     const metric_labels& labels) const;

 private:
  struct buckets;
  mutable std::mutex mutex_;
  std::unique_ptr<buckets> buckets_;
};

/// \brief The metrics of one process, exposed as text.
class metrics_registry {
 public:
  /// \returns the counter of that name and labels; it lives as long as the
  /// registry.
  metric_value& Counter(const std::string& name,
                        const metric_labels& labels = {});
  metric_value& Gauge(const std::string& name,
                      const metric_labels& labels = {});
  metric_summary& Summary(const std::string& name,
                          const metric_labels& labels = {});
  metric_histogram& Histogram(const std::string& name,
                              const metric_labels& labels = {});

  /// \returns all metrics in the text exposition format, version 0.0.4.
  std::string Expose() const;

 private:
  using key = std::pair<std::string, metric_labels>;
  mutable std::mutex mutex_;
  std::map<key, std::unique_ptr<metric_value>> counters_;
  std::map<key, std::unique_ptr<metric_value>> gauges_;
  std::map<key, std::unique_ptr<metric_summary>> summaries_;
  std::map<key, std::unique_ptr<metric_histogram>> histograms_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_TELEMETRY_METRICS_H_
