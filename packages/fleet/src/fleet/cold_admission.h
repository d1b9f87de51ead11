#ifndef CARDAMOMYARD_FLEET_COLD_ADMISSION_H_
#define CARDAMOMYARD_FLEET_COLD_ADMISSION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/base.h"
#include "src/fleet/host_ranks.h"

namespace cardamomyard {

/// \brief How many requests a second all hosts together may send to a cold
/// server, given the rate that its service states.
struct cold_bounds {
  double overage = 1;  ///< Factor of the rate.
  double slack = 0;    ///< Requests beyond that.
  friend bool operator==(const cold_bounds&, const cold_bounds&) = default;
};

/// \brief One instance of a backend server: a restart under the same id is
/// another one.
struct cold_instance {
  std::string id;
  std::int64_t started_unix_ms = 0;
  friend bool operator==(const cold_instance&, const cold_instance&) = default;
};

/// \brief Which servers are cold, and until when.
///
/// Designed for servers that have just started and crash under their usual
/// load. Of several reports about an instance, the one that lasts longest
/// holds.
class cold_servers {
 public:
  /// Who reported that a server is cold.
  enum class source {
    server,  ///< Its entry or its answer to this host.
    peer
  };

  /// \returns whether the server was not known to be cold until then.
  bool Record(const cold_instance& server,
              duration remaining,
              source reported_by,
              time_point now);
  bool IsCold(const cold_instance& server, time_point now) const;

  struct remaining_time {
    cold_instance server;
    std::chrono::milliseconds left{0};
  };
  /// \returns the servers that are cold at \p now by what they told this host,
  /// for a digest. What peers told is not passed on: each hop adds to the time.
  std::vector<remaining_time> Remaining(time_point now);
  std::size_t Count(time_point now) const;

 private:
  struct cold_time {
    time_point until;
    time_point until_by_server;
  };
  std::map<std::pair<std::string, std::int64_t>, cold_time> until_;
};

/// \brief Limits the requests of all hosts to each cold server.
///
/// Designed for a whole zone of servers that returns cold while many hosts
/// choose servers at the same time. Only the few hosts that rank highest for a
/// server, its admitters, send to it, each with a fixed part of the limit.
/// There are kAdmitters in the view of one host. Hosts whose views differ may
/// take twice as many for admitters; the parts are small enough for that. A
/// host admits only while it hears a majority of the gateways that it knows, so
/// that a host that is cut off sends nothing, and only after it has been an
/// admitter for kSettlingTime, so that an admitter's successor starts a second
/// after it.
class cold_admission {
 public:
  static constexpr std::size_t kAdmitters = 2;
  /// Longer than the second in which requests are counted.
  static constexpr std::chrono::milliseconds kSettlingTime{1200};

  cold_admission(std::string self, cold_bounds bounds);

  /// \param heard  names of the gateways that this host hears, without itself.
  /// \param known  number of all gateways that it knows, without itself.
  void SetGateways(std::vector<std::string> heard,
                   std::size_t known,
                   time_point now);

  /// Stops sending to cold servers for good. The other gateways don't count a
  /// host that drains.
  void Withdraw();

  /// \returns whether a request may be sent to the cold server \p backend now.
  /// \param rate_per_s  what its service states.
  bool MaySend(const std::string& backend, double rate_per_s, time_point now);
  /// Like MaySend(), and counts the request as sent.
  bool Admit(const std::string& backend, double rate_per_s, time_point now);

  /// \returns the part of the limit that one admitter has in any second.
  std::size_t Part(double rate_per_s) const;

 private:
  struct server_state {
    /// Empty while this host is no admitter.
    std::optional<time_point> admitter_since;
    std::deque<time_point> sent;  ///< Within the last second.
  };
  bool IsAdmitter(const std::string& backend);
  server_state& StateOf(const std::string& backend);

  std::string self_;
  cold_bounds bounds_;
  host_ranks ranks_;
  bool hears_majority_ = false;
  bool withdrawn_ = false;
  /// When the admitters of any server may last have changed.
  time_point changed_at_;
  std::map<std::string, server_state> servers_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_COLD_ADMISSION_H_
