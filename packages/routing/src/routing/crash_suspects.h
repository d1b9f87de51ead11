#ifndef CARDAMOMYARD_ROUTING_CRASH_SUSPECTS_H_
#define CARDAMOMYARD_ROUTING_CRASH_SUSPECTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/base/clock.h"

namespace cardamomyard {

/// Hash of account, path and body of a request.
using request_fingerprint = std::uint64_t;

/// \returns the fingerprint of a request.
request_fingerprint Fingerprint(std::string_view account,
                                std::string_view path,
                                std::string_view body);

/// \brief What is known of a request that ran where a server died; in the
/// order in which one replaces the other.
enum class suspect_state { suspect, isolated_run, cleared, quarantined };

/// \brief One fingerprint's state, as processes exchange it.
///
/// A crash after a clearance opens a new round. Entries of one fingerprint are
/// totally ordered: a conviction above all, then the round, the state and the
/// expiry. Merging keeps the greater one, so that order, repetition and delay
/// of messages do not matter.
struct suspect_entry {
  request_fingerprint fingerprint = 0;
  std::uint32_t round = 0;
  suspect_state state = suspect_state::suspect;
  /// Wall time, so that every process drops the entry at the same time.
  wall_time expiry;

  friend bool operator==(const suspect_entry&, const suspect_entry&) = default;
  friend std::strong_ordering operator<=>(const suspect_entry& a,
                                          const suspect_entry& b);
};

enum class suspect_decision {
  run_normally,
  run_isolated,  ///< Only with the claim. \sa DecideClaim
  refuse,        ///< Answer with `quarantined`.
};

/// \brief Table of the requests that ran where a backend server died (rule 14).
class crash_suspects {
 public:
  /// \param max_entries  bound of the table; the mildest entries go first.
  explicit crash_suspects(std::size_t max_entries = 65536);

  suspect_decision Decide(request_fingerprint print, wall_time now) const;
  /// \returns the round of \p print, which a claim must carry.
  std::uint32_t Round(request_fingerprint print, wall_time now) const;

  /// \brief Records the death of a backend server.
  ///
  /// A request that was alone without being isolated becomes only a suspect,
  /// since hosts also fail by themselves; it is convicted when it was a suspect
  /// already.
  /// \param running  the requests that ran on it.
  /// \param isolated  whether the only one ran in isolation.
  /// \returns the entries that changed, to be sent to peers.
  std::vector<suspect_entry> RecordServerCrash(
      std::span<const request_fingerprint> running,
      bool isolated,
      wall_time now);
  /// \brief Records the start of an isolated run.
  suspect_entry RecordIsolatedRun(request_fingerprint print, wall_time now);
  /// \brief Records that the server survived an isolated run.
  suspect_entry RecordCleared(request_fingerprint print, wall_time now);
  /// \brief Records a conviction found in the claim object.
  suspect_entry RecordQuarantined(request_fingerprint print, wall_time now);

  /// \brief Merges an entry of a peer.
  /// \returns whether the table changed; only then it is worth passing on.
  bool Merge(const suspect_entry& entry, wall_time now);
  /// \returns every entry that has not expired, in no order.
  std::vector<suspect_entry> Entries(wall_time now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  const suspect_entry* Find(request_fingerprint print, wall_time now) const;
  suspect_entry UpdateState(request_fingerprint print,
                            suspect_state state,
                            wall_time now);
  void EvictEntries(wall_time now);

  std::size_t max_entries_;
  std::unordered_map<request_fingerprint, suspect_entry> entries_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_CRASH_SUSPECTS_H_
