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

/// \brief The right to run one suspect alone, with its record in the store.
struct isolated_run {
  suspect_claim claim;
  std::uint64_t version = 0;
};

/// \brief What an entry host knows of requests that crash backend servers
/// (rule 14). Safe from any thread.
class suspect_registry {
 public:
  explicit suspect_registry(process_context& context);

  suspect_decision Decide(request_fingerprint print) const;
  /// Takes the claim object for the one isolated run.
  /// \returns nothing when the request was cleared meanwhile, and
  /// `quarantined` when it must not run now.
  boost::asio::awaitable<result<std::optional<isolated_run>>> Claim(
      request_fingerprint print);
  /// Records how the isolated run ended.
  boost::asio::awaitable<void> End(request_fingerprint print,
                                   isolated_run run,
                                   bool server_survived);

  /// Merges entries of a sidecar or peer. \returns whether anything was new.
  bool Merge(const std::vector<suspect_entry>& entries);
  std::vector<suspect_entry> Entries() const;

 private:
  process_context* context_;
  mutable std::mutex mutex_;
  crash_suspects table_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_SUSPECT_REGISTRY_H_
