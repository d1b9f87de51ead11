#ifndef CARDAMOMYARD_FLEET_SERVER_SPEED_H_
#define CARDAMOMYARD_FLEET_SERVER_SPEED_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

/// \brief The speed of each backend server relative to the median of its
/// service.
///
/// Designed for services in which some servers take about twice as long as
/// others for the same request, so that a free slot there is worth half as
/// much. A sample is the time that a server took for one unit of work: between
/// two events of a stream, or for a whole answer. Samples are averaged on a
/// logarithmic scale and limited to a factor of the average, so that a single
/// odd answer counts little. Speeds close to the median count as the median:
/// servers that are alike have speed 1.
class server_speeds {
 public:
  struct server {
    std::string id;
    std::int64_t started_unix_ms = 0;
    std::string service;
    friend bool operator==(const server&, const server&) = default;
  };

  /// Records the time for a unit of work of a complete answer.
  void Observe(const server& from, duration unit_time, time_point now);
  /// Takes over what a peer has observed. Empty reports change nothing, as
  /// digests carry them only now and then.
  void SetReports(const std::string& host,
                  const std::vector<speed_report>& reports,
                  time_point now);
  void RemovePeer(const std::string& host) { peers_.erase(host); }

  /// Combines the observations of all hosts. To be called now and then.
  void Refresh(time_point now);
  /// \returns the speed of a server as of the last Refresh(); 1 when little is
  /// known.
  double Of(const std::string& id, std::int64_t started_unix_ms) const;
  /// \returns this host's observations of servers that are not alike the
  /// others, as of the last Refresh(), for its digest; at most \p most.
  std::vector<speed_report> Reports(std::size_t most) const;

 private:
  struct observed {
    server from;
    double log_time = 0;  ///< Average of the logarithm of the unit time.
    int observations = 0;
    time_point last;
  };
  struct peer_reports {
    std::vector<speed_report> reports;
    time_point received;
  };
  /// \returns the logarithm of the median of the unit times of a service.
  double MedianLogTime(const std::string& service) const;
  /// \returns this host's observation of a server as a speed.
  speed_report ReportOf(const observed& known) const;

  std::map<std::string, observed> observed_;
  std::map<std::string, peer_reports> peers_;
  std::map<std::string, double> medians_;  ///< Of log_time, by service.
  std::map<std::pair<std::string, std::int64_t>, double> speeds_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_SERVER_SPEED_H_
