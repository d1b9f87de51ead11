#include "src/telemetry/metrics.h"

// Boost 1.81 needs std::ostringstream to be complete before its header.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace cardamomyard {
namespace acc = boost::accumulators;
namespace {

constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};

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
      std::ostringstream level;
      level << q;
      with_quantile["quantile"] = level.str();
      text << name << LabelText(with_quantile) << ' '
           << acc::quantile(values, acc::quantile_probability = q) << '\n';
    }
  }
  text << name << "_sum" << LabelText(labels) << ' ' << acc::sum(values) << '\n'
       << name << "_count" << LabelText(labels) << ' ' << acc::count(values)
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
  return text.str();
}

}  // namespace cardamomyard
