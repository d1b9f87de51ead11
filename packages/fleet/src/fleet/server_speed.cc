#include "src/fleet/server_speed.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace cardamomyard {
namespace {

// Weight of a new sample: the average spans about the last ten.
constexpr double kSampleWeight = 0.1;
// A sample moves the average as if it were at most this factor away from it.
constexpr double kMaxFactor = 3;
// Observations that halve the difference from the median.
constexpr double kPriorObservations = 3;
// More observations of one host add no certainty, since a speed may change.
constexpr int kMaxObservations = 20;
// Load and length of answers alone make unit times differ by this factor.
constexpr double kAlike = 1.2;
constexpr double kMinSpeed = 0.2;
constexpr double kMaxSpeed = 5;
constexpr std::chrono::seconds kRetention{30};
constexpr std::chrono::seconds kReportRetention{5};

}  // namespace

void server_speeds::Observe(const server& from,
                            duration unit_time,
                            time_point now) {
  if (unit_time <= duration::zero()) {
    return;
  }
  const double log_time =
      std::log(std::chrono::duration<double>(unit_time).count());
  observed& known = observed_[from.id];
  if (known.from != from) {
    known = {from, log_time, 0, now};
  }
  const double limit = std::log(kMaxFactor);
  const double weight =
      std::max(kSampleWeight, 1.0 / (known.observations + 1.0));
  known.log_time +=
      weight * std::clamp(log_time - known.log_time, -limit, limit);
  known.observations = std::min(known.observations + 1, kMaxObservations);
  known.last = now;
}

void server_speeds::SetReports(const std::string& host,
                               const std::vector<speed_report>& reports,
                               time_point now) {
  if (!reports.empty()) {
    peers_[host] = {reports, now};
  }
}

double server_speeds::MedianLogTime(const std::string& service) const {
  std::vector<double> times;
  for (const auto& [id, known] : observed_) {
    if (known.from.service == service) {
      times.push_back(known.log_time);
    }
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

speed_report server_speeds::ReportOf(const observed& known) const {
  const double speed =
      std::exp(medians_.at(known.from.service) - known.log_time);
  return {known.from.id, known.from.started_unix_ms,
          std::clamp(speed, kMinSpeed, kMaxSpeed), known.observations};
}

void server_speeds::Refresh(time_point now) {
  std::erase_if(observed_, [now](const auto& item) {
    return now - item.second.last > kRetention;
  });
  std::erase_if(peers_, [now](const auto& item) {
    return now - item.second.received > kReportRetention;
  });
  medians_.clear();
  struct weighted_sum {
    double log_speed = 0;
    double observations = 0;
  };
  std::map<std::pair<std::string, std::int64_t>, weighted_sum> sums;
  const auto add = [&sums](const speed_report& report) {
    const int counted = std::clamp(report.observations, 0, kMaxObservations);
    weighted_sum& sum = sums[{report.backend, report.started_unix_ms}];
    sum.log_speed +=
        std::log(std::clamp(report.speed, kMinSpeed, kMaxSpeed)) * counted;
    sum.observations += counted;
  };
  for (const auto& [id, known] : observed_) {
    if (!medians_.contains(known.from.service)) {
      medians_[known.from.service] = MedianLogTime(known.from.service);
    }
    add(ReportOf(known));
  }
  for (const auto& [host, peer] : peers_) {
    std::for_each(peer.reports.begin(), peer.reports.end(), add);
  }
  speeds_.clear();
  for (const auto& [server, sum] : sums) {
    const double log_speed =
        sum.log_speed / (sum.observations + kPriorObservations);
    if (std::abs(log_speed) > std::log(kAlike)) {
      speeds_[server] = std::exp(log_speed);
    }
  }
}

double server_speeds::Of(const std::string& id,
                         std::int64_t started_unix_ms) const {
  const auto found = speeds_.find({id, started_unix_ms});
  return found == speeds_.end() ? 1 : found->second;
}

std::vector<speed_report> server_speeds::Reports(std::size_t most) const {
  std::vector<speed_report> reports;
  for (const auto& [id, known] : observed_) {
    if (!medians_.contains(known.from.service)) {
      continue;
    }
    const speed_report report = ReportOf(known);
    if (std::abs(std::log(report.speed)) > std::log(kAlike) &&
        reports.size() < most) {
      reports.push_back(report);
    }
  }
  return reports;
}

}  // namespace cardamomyard
