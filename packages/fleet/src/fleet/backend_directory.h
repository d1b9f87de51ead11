#ifndef CARDAMOMYARD_FLEET_BACKEND_DIRECTORY_H_
#define CARDAMOMYARD_FLEET_BACKEND_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"

namespace cardamomyard {

/// \brief A backend server as it registered itself.
struct backend_entry {
  std::string id;
  std::string service;
  host_address address = host_address::Make("0.0.0.0", 0);
  std::string zone;
  int slots = 1;  ///< Requests that it runs at once.
  bool draining = false;
  /// When this incarnation started, in ms of wall time; 0 when not known.
  std::int64_t started_unix_ms = 0;
  friend bool operator==(const backend_entry&, const backend_entry&) = default;
};

/// \brief A backend server that may get work.
struct usable_backend {
  backend_entry entry;
  /// Its registration lapsed a moment ago: use it only when nothing else is
  /// free.
  bool unregistered = false;
  friend bool operator==(const usable_backend&,
                         const usable_backend&) = default;
};

/// \brief The registered backend servers.
///
/// A registration can lapse while the store is away although the server lives.
/// A server whose entry vanished therefore stays usable, as a last choice, for
/// a time that is shorter than a leaving server goes on serving.
class backend_directory {
 public:
  /// \param drain_bound  how long a server that leaves may still get work.
  explicit backend_directory(std::chrono::milliseconds drain_bound);

  /// Takes over the complete list.
  void Replace(std::vector<backend_entry> entries, time_point now);
  void Upsert(backend_entry entry, time_point now);
  void Remove(const std::string& id, time_point now);
  /// The store answers again after an outage.
  void OnStoreRecovered(time_point now);

  /// \returns servers that are neither draining nor gone for too long.
  std::vector<usable_backend> Usable(time_point now);
  std::size_t registered() const { return entries_.size(); }

 private:
  struct state {
    backend_entry entry;
    std::optional<time_point> usable_until;
  };
  duration GracePeriod(time_point now) const;
  void MarkUnregistered(state& entry, time_point now) const;

  std::chrono::milliseconds drain_bound_;
  std::optional<time_point> store_recovered_at_;
  std::map<std::string, state> entries_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_BACKEND_DIRECTORY_H_
