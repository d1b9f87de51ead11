#ifndef CARDAMOMYARD_NODE_ENTRY_SUSPECT_REGISTRY_H_
#define CARDAMOMYARD_NODE_ENTRY_SUSPECT_REGISTRY_H_

#include <boost/asio/awaitable.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/routing.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief A claim to run one suspect in isolation, and the version of its
/// stored record.
struct isolated_run {
  suspect_claim claim;
  std::uint64_t version = 0;
};

/// \brief The requests that an entry host suspects of crashing backend servers
/// (rule 14). Thread-safe.
class suspect_registry {
 public:
  explicit suspect_registry(process_context& context);

  suspect_decision Decide(request_fingerprint fingerprint) const;
  /// \returns whether servers crash under requests with one of \p parts.
  bool HasQuarantinedPart(const std::vector<request_fingerprint>& parts) const;
  /// A server crashed under a request with these prompt parts.
  void RecordPartCrashes(const std::vector<request_fingerprint>& parts);
  /// A request with these prompt parts was completed.
  void RecordPartCompletions(const std::vector<request_fingerprint>& parts);
  /// Claims the only isolated run of the request in the object API.
  /// \returns nothing when the request has been cleared meanwhile, and
  /// `quarantined` when it must not run now.
  boost::asio::awaitable<result<std::optional<isolated_run>>> Claim(
      request_fingerprint fingerprint);
  /// Records how the isolated run ended.
  boost::asio::awaitable<void> End(request_fingerprint fingerprint,
                                   isolated_run run,
                                   bool server_survived);

  /// Merges the entries of a sidecar or peer.
  /// \returns whether any of them was new.
  bool Merge(const std::vector<suspect_entry>& entries);
  std::vector<suspect_entry> Entries() const;

 private:
  process_context* context_;
  mutable std::mutex mutex_;
  crash_suspects table_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_SUSPECT_REGISTRY_H_
