#ifndef CARDAMOMYARD_GATEWAY_INVENTORY_H_
#define CARDAMOMYARD_GATEWAY_INVENTORY_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/store.h"
#include "cardamomyard/telemetry.h"
#include "cardamomyard/wire.h"
#include "src/gateway/protocol.h"

namespace cardamomyard {

/// \brief Follows configuration and backend servers in the store, and takes
/// them over from a peer when the store does not answer this host.
///
/// Lives on the traffic thread; the followers run and decode on the control
/// thread and hand over finished values.
class inventory {
 public:
  struct event_callbacks {
    std::function<void(std::shared_ptr<const service_map>)> on_configuration;
    std::function<void()> on_backends;
  };

  inventory(object_store& store,
            const protocol& codec,
            const clock& time,
            std::chrono::milliseconds drain_bound,
            boost::asio::any_io_executor traffic,
            boost::asio::any_io_executor control,
            event_callbacks events);

  void Start();

  std::shared_ptr<const service_map> configuration() const {
    return configuration_;
  }
  backend_directory& backends() { return backends_; }
  /// \returns whether servers have been listed at least once.
  bool backends_listed() const { return backends_listed_; }
  /// \returns the time since the store last answered; nothing when it never
  /// did.
  std::optional<std::chrono::milliseconds> store_age() const;

  /// \returns the revision of the store at which the servers are known.
  std::uint64_t backend_revision() const { return backend_revision_; }
  /// Sets how long the store may keep the watches waiting.
  void SetWatchWait(std::chrono::milliseconds wait);

  /// \returns what a peer without store contact may take over.
  inventory_snapshot Snapshot() const;
  /// Takes over what is newer in a peer's snapshot.
  void Adopt(const inventory_snapshot& snapshot, const std::string& peer);

 private:
  void FollowConfiguration();
  void FollowBackends();
  void ApplyConfiguration(const store_record& record, std::string_view source);
  void ApplyBackendSnapshot(const store_snapshot& snapshot);
  void ApplyBackendChange(const store_change& change, std::uint64_t revision);
  void ApplyBackend(const store_record& record);
  void RemoveBackend(const std::string& name, std::uint64_t revision);
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
  backend_directory backends_;
  std::map<std::string, store_record> backend_records_;
  std::uint64_t backend_revision_ = 0;
  // What was taken over from a peer is newer than events up to this revision.
  std::uint64_t adopted_revision_ = 0;
  bool backends_listed_ = false;
  bool in_contact_ = false;
  std::optional<time_point> last_contact_;

  std::unique_ptr<object_follower> configuration_follower_;
  std::unique_ptr<object_follower> backend_follower_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_INVENTORY_H_
