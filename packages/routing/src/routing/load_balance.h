#ifndef CARDAMOMYARD_ROUTING_LOAD_BALANCE_H_
#define CARDAMOMYARD_ROUTING_LOAD_BALANCE_H_

#include <cstddef>
#include <optional>
#include <random>
#include <span>

#include "src/base/clock.h"

namespace cardamomyard {

/// \brief What a host knows of the load of one server.
struct server_load {
  double own = 0;       ///< Requests of this host; known exactly.
  double reported = 0;  ///< Requests of other hosts, by their last reports.
  /// Requests that it serves side by side: its slots, times its speed.
  double capacity = 1;
  /// Load for each unit of capacity that makes it less wanted, for instance for
  /// the way to another zone.
  double handicap = 0;
  friend bool operator==(const server_load&, const server_load&) = default;
};

/// \brief How old the reports are.
struct report_age {
  duration age{};
  /// For how long a request holds its slot on average.
  duration service_time = std::chrono::milliseconds(200);
  friend bool operator==(const report_age&, const report_age&) = default;
};

/// \brief Chooses servers so that their loads stay even although many hosts
/// choose at the same moment by reports that are a little old.
///
/// Designed for steady and bursty load on more than a few hosts. If each of
/// them took the server with the lowest reported load, all would take the same
/// one until the next reports. Instead, the choice estimates how many requests
/// the other hosts have placed since their reports, assumes that these filled
/// up the least loaded servers, and chooses at random in proportion to what
/// each server takes up of them and of this request. With fresh reports that is
/// the least loaded server, with old ones every server by its free capacity.
/// \returns the position of a server, or nothing if \p servers is empty.
std::optional<std::size_t> ChooseEvenly(std::span<const server_load> servers,
                                        const report_age& reports,
                                        std::mt19937_64& random);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_LOAD_BALANCE_H_
