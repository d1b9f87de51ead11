#ifndef CARDAMOMYARD_GATEWAY_WORKER_LEASE_H_
#define CARDAMOMYARD_GATEWAY_WORKER_LEASE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/store.h"
#include "cardamomyard/telemetry.h"

namespace cardamomyard {

/// \brief Renews this worker's lease in the store and checks whether the leases
/// of other workers have lapsed.
///
/// The holder measures its lease from the moment at which it sent a renewal.
/// The others measure from the moment at which they first saw that renewal, and
/// wait longer. So a lease has ended for its holder before another worker takes
/// over its jobs, even when the holder was suspended.
class worker_lease {
 public:
  static constexpr std::chrono::milliseconds kRenewalPeriod{1000};
  /// How long after sending a renewal the holder considers its lease held.
  static constexpr std::chrono::milliseconds kLeaseDuration{2500};
  /// How long others wait for the next renewal. It exceeds kLeaseDuration by
  /// the time that a slow call to the store takes.
  static constexpr std::chrono::milliseconds kTakeoverDelay{4000};

  worker_lease(object_store& store,
               const clock& time,
               std::string name,
               std::int64_t incarnation);

  /// Renews the lease once. \returns whether it is held.
  boost::asio::awaitable<bool> Renew();
  /// Releases the lease permanently; it cannot be renewed afterwards.
  boost::asio::awaitable<void> Release();
  bool IsHeld() const;

  /// Reads another worker's lease. \returns whether its jobs may be taken over.
  boost::asio::awaitable<bool> HasLapsed(std::string owner);

 private:
  struct observed_lease {
    std::uint64_t revision = 0;
    time_point since;
  };

  boost::asio::awaitable<result<store_record>> Write(std::string value);

  object_store* store_;
  const clock* clock_;
  std::string name_;
  std::int64_t incarnation_;
  std::int64_t renewals_ = 0;
  std::uint64_t revision_ = 0;
  std::optional<time_point> held_until_;
  bool released_ = false;
  std::map<std::string, observed_lease> observed_leases_;
  part_log log_{"lease"};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_WORKER_LEASE_H_
