#ifndef CARDAMOMYARD_GATEWAY_INVENTORY_H_
#define CARDAMOMYARD_GATEWAY_INVENTORY_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/store.h"
#include "cardamomyard/telemetry.h"
#include "cardamomyard/wire.h"
#include "src/gateway/protocol.h"

namespace cardamomyard {

/// \brief Watches the configuration and the backend servers in the store, and
/// copies them from a peer when the store does not answer this host.
///
/// Used on the traffic thread only. The followers run on the control thread and
/// post the records that they received to the traffic thread.
class inventory {
 public:
  struct event_callbacks {
    std::function<void(std::shared_ptr<const service_map>)> on_configuration;
    std::function<void()> on_backends;
    /// The set of evacuated zones has changed.
    std::function<void()> on_evacuations;
  };

  inventory(object_store& store,
            const protocol& codec,
            const clock& time,
            std::chrono::milliseconds drain_bound,
            boost::asio::any_io_executor traffic,
            boost::asio::any_io_executor control,
            event_callbacks callbacks);

  void Start();

  std::shared_ptr<const service_map> configuration() const {
    return configuration_;
  }
  /// Reads the configuration from the store and applies it. A watch or a peer
  /// may deliver it seconds later.
  /// \returns whether the configuration in force was the newest one when this
  /// was called.
  boost::asio::awaitable<bool> ReadConfiguration();
  /// \returns when the last successful ReadConfiguration() was called.
  std::optional<time_point> configuration_read() const {
    return configuration_read_;
  }
  backend_directory& backends() { return backends_; }
  /// Watches the evacuated zones too; to be called before Start().
  void FollowEvacuations();
  const zone_evacuations& evacuations() const { return evacuations_; }
  /// Takes over the evacuated zones of a peer, if its revision is newer.
  void AdoptEvacuations(const std::vector<std::string>& zones,
                        std::uint64_t revision,
                        const std::string& peer);
  /// \returns whether the backend servers have been listed at least once.
  bool backends_listed() const { return records_.is_listed(); }
  /// \returns the time since the store last answered; nothing when it never
  /// has.
  std::optional<std::chrono::milliseconds> store_age() const;

  /// \returns the revision of the last change of the backend servers, for peers
  /// to compare.
  std::uint64_t backend_revision() const { return records_.revision(); }
  /// \returns the revision up to which this host knows the backend servers.
  std::uint64_t known_backend_revision() const {
    return records_.known_revision();
  }
  /// Sets how long the store may hold a watch open without a change, and
  /// whether it may report changes late. Holds for the running watches too.
  void SetWatch(std::chrono::milliseconds wait, read_freshness freshness);

  /// \returns the configuration and the backend servers, for a peer that knows
  /// them as of these revisions, 0 if not at all. Of the servers, only what has
  /// changed since, if that is still known.
  inventory_snapshot Snapshot(std::uint64_t configuration_since,
                              std::uint64_t backends_since) const;
  /// Applies the parts of a peer's snapshot that are newer than this host's.
  void Adopt(const inventory_snapshot& snapshot, const std::string& peer);

 private:
  /// Which entries get a log line. A complete list may have thousands.
  enum class entry_log { removals, all };

  void FollowConfiguration();
  void FollowBackends();
  void ApplyEvacuations(bool changed, std::string_view source);
  /// \returns whether \p record, or a newer one, is in force.
  bool ApplyConfiguration(const store_record& record, std::string_view source);
  void ApplyBackendSnapshot(const store_snapshot& snapshot);
  void ApplyBackendChanges(const store_changes& answer);
  /// \param source  "store" or the name of the peer that reported it.
  void ApplyDifference(const record_difference& difference,
                       std::string_view source,
                       entry_log logged);
  void ApplyBackend(const store_record& record,
                    std::string_view source,
                    entry_log logged);
  /// Logs an entry that names no usable server, once for each of its revisions.
  void ReportUnusable(const store_record& record, const error& reason);
  /// Has \p follower list its kind again.
  void ListAgain(object_follower& follower);
  void RecordContact(bool in_contact);
  /// Runs \p work on the traffic thread.
  void PostToTraffic(std::function<void()> work);

  object_store* store_;
  const protocol* codec_;
  const clock* clock_;
  boost::asio::any_io_executor traffic_;
  boost::asio::any_io_executor control_;
  event_callbacks callbacks_;
  part_log log_{"inventory"};

  std::shared_ptr<const service_map> configuration_;
  store_record configuration_record_;
  std::optional<time_point> configuration_read_;
  backend_directory backends_;
  record_replica records_;
  /// Revisions of the entries that were reported as unusable.
  std::map<std::string, std::uint64_t> reported_entries_;
  zone_evacuations evacuations_;
  bool in_contact_ = false;
  std::optional<time_point> last_contact_;

  std::optional<std::pair<std::chrono::milliseconds, read_freshness>> watch_;
  std::unique_ptr<object_follower> configuration_follower_;
  std::unique_ptr<object_follower> backend_follower_;
  /// Null where operators evacuate no zones.
  std::unique_ptr<object_follower> evacuation_follower_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_INVENTORY_H_
