#include "src/telemetry/metrics.h"

// Boost 1.81 needs std::ostringstream to be complete before its header.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <vector>

namespace cardamomyard {
namespace acc = boost::accumulators;
namespace {

constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};
// Upper bounds in seconds. They cover the latency objectives of online requests
// (0.3 to 1 s) closely and batch items (20 s) roughly.
constexpr std::array<double, 14> kBounds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10, 20};
// A bucket of the format holds its upper bound, a bin of the axis does not.
// Observed values are whole milliseconds.
constexpr double kHalfMillisecond = 0.0005;

std::vector<double> AxisEdges() {
  std::vector<double> edges{0};
  for (const double bound : kBounds) {
    edges.push_back(bound + kHalfMillisecond);
  }
  return edges;
}

std::string NumberText(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

using accumulator_type =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped.push_back('\\');
    }
    escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return escaped;
}

std::string LabelText(const metric_labels& labels) {
  if (labels.empty()) {
    return "";
  }
  std::string text = "{";
  for (const auto& [name, value] : labels) {
    text +=
        (text.size() > 1 ? "," : "") + name + "=\"" + EscapeLabel(value) + "\"";
  }
  return text + "}";
}

template <class Map>
auto& FindOrMake(Map& metrics,
                 const std::string& name,
                 const metric_labels& labels) {
  auto& slot = metrics[{name, labels}];
  if (slot == nullptr) {
    slot = std::make_unique<
        typename std::remove_reference_t<decltype(slot)>::element_type>();
  }
  return *slot;
}

/// Writes one TYPE line for the first metric of each name.
void WriteType(std::ostringstream& text,
               std::string& last,
               const std::string& name,
               const char* type) {
  if (name != last) {
    text << "# TYPE " << name << ' ' << type << '\n';
    last = name;
  }
}

}  // namespace

struct metric_summary::accumulators {
  accumulator_type values{acc::extended_p_square_probabilities = kQuantiles};
};

metric_summary::metric_summary()
    : accumulators_(std::make_unique<accumulators>()) {}
metric_summary::~metric_summary() = default;

void metric_summary::Observe(double value) {
  const std::lock_guard lock(mutex_);
  accumulators_->values(value);
}

std::string metric_summary::Expose(const std::string& name,
                                   const metric_labels& labels) const {
  const std::lock_guard lock(mutex_);
  const accumulator_type& values = accumulators_->values;
  std::ostringstream text;
  if (acc::count(values) > 0) {
    for (const double q : kQuantiles) {
      metric_labels with_quantile = labels;
      with_quantile["quantile"] = NumberText(q);
      text << name << LabelText(with_quantile) << ' '
           << acc::quantile(values, acc::quantile_probability = q) << '\n';
    }
  }
  text << name << "_sum" << LabelText(labels) << ' ' << acc::sum(values) << '\n'
       << name << "_count" << LabelText(labels) << ' ' << acc::count(values)
       << '\n';
  return text.str();
}

struct metric_histogram::buckets {
  decltype(boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(AxisEdges()))) counts =
      boost::histogram::make_histogram(
          boost::histogram::axis::variable<>(AxisEdges()));
  double sum = 0;
  std::uint64_t count = 0;
};

metric_histogram::metric_histogram() : buckets_(std::make_unique<buckets>()) {}
metric_histogram::~metric_histogram() = default;

void metric_histogram::Observe(std::chrono::milliseconds value) {
  const double seconds = std::chrono::duration<double>(value).count();
  const std::lock_guard lock(mutex_);
  buckets_->counts(seconds);
  buckets_->sum += seconds;
  ++buckets_->count;
}

std::string metric_histogram::Expose(const std::string& name,
                                     const metric_labels& labels) const {
  const std::lock_guard lock(mutex_);
  std::ostringstream text;
  std::uint64_t below = 0;
  metric_labels with_bound = labels;
  for (std::size_t i = 0; i < kBounds.size(); ++i) {
    below +=
        static_cast<std::uint64_t>(buckets_->counts.at(static_cast<int>(i)));
    with_bound["le"] = NumberText(kBounds[i]);
    text << name << "_bucket" << LabelText(with_bound) << ' ' << below << '\n';
  }
  with_bound["le"] = "+Inf";
  text << name << "_bucket" << LabelText(with_bound) << ' ' << buckets_->count
       << '\n'
       << name << "_sum" << LabelText(labels) << ' ' << buckets_->sum << '\n'
       << name << "_count" << LabelText(labels) << ' ' << buckets_->count
       << '\n';
  return text.str();
}

metric_value& metrics_registry::Counter(const std::string& name,
                                        const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrMake(counters_, name, labels);
}

metric_value& metrics_registry::Gauge(const std::string& name,
                                      const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrMake(gauges_, name, labels);
}

metric_summary& metrics_registry::Summary(const std::string& name,
                                          const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrMake(summaries_, name, labels);
}

metric_histogram& metrics_registry::Histogram(const std::string& name,
                                              const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrMake(histograms_, name, labels);
}

std::string metrics_registry::Expose() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream text;
  std::string last;
  for (const auto& [key, metric] : counters_) {
    WriteType(text, last, key.first, "counter");
    text << key.first << LabelText(key.second) << ' ' << metric->value()
         << '\n';
  }
  for (const auto& [key, metric] : gauges_) {
    WriteType(text, last, key.first, "gauge");
    text << key.first << LabelText(key.second) << ' ' << metric->value()
         << '\n';
  }
  for (const auto& [key, metric] : summaries_) {
    WriteType(text, last, key.first, "summary");
    text << metric->Expose(key.first, key.second);
  }
  for (const auto& [key, metric] : histograms_) {
    WriteType(text, last, key.first, "histogram");
    text << metric->Expose(key.first, key.second);
  }
  return text.str();
}

}  // namespace cardamomyard
