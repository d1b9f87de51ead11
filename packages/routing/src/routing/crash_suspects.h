#ifndef CARDAMOMYARD_ROUTING_CRASH_SUSPECTS_H_
#define CARDAMOMYARD_ROUTING_CRASH_SUSPECTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "src/base/clock.h"

namespace cardamomyard {

/// Hash of account, path and body of a request.
using request_fingerprint = std::uint64_t;

request_fingerprint Fingerprint(std::string_view account,
                                std::string_view path,
                                std::string_view body);

/// \brief State of a request that was running on a backend server when the
/// server crashed. Within a round, a later enumerator replaces an earlier one.
enum class suspect_state { suspect, isolated_run, cleared, quarantined };

/// \brief State of one fingerprint, as processes exchange it.
///
/// A crash of a cleared request starts a new round. Entries of one fingerprint
/// are totally ordered: quarantined entries rank highest, then the round, the
/// state and the expiry decide. A merge keeps the greater entry, so the result
/// does not depend on order, repetition or delay of messages.
struct suspect_entry {
  request_fingerprint fingerprint = 0;
  std::uint32_t round = 0;
  suspect_state state = suspect_state::suspect;
  /// Wall time, so that all processes drop the entry at the same time.
  wall_time expiry;

  friend bool operator==(const suspect_entry&, const suspect_entry&) = default;
  friend std::strong_ordering operator<=>(const suspect_entry& a,
                                          const suspect_entry& b);
};

enum class suspect_decision {
  run_normally,
  run_isolated,  ///< Requires the claim. \sa DecideClaim
  refuse,        ///< Refuse with error `quarantined`.
};

/// \brief Table of the requests that were running on backend servers that
/// crashed, used to find the poison requests among them (rule 14).
class crash_suspects {
 public:
  /// Crashes under different requests after which a part is quarantined.
  static constexpr std::uint32_t kPartCrashes = 3;

  /// \param max_entries  bound of the table. Cleared entries are evicted first,
  /// quarantined ones last.
  explicit crash_suspects(std::size_t max_entries = 65536);

  suspect_decision Decide(request_fingerprint fingerprint, wall_time now) const;
  /// \returns the round of \p fingerprint, which the claim must state.
  std::uint32_t Round(request_fingerprint fingerprint, wall_time now) const;

  /// \brief Records the crash of a backend server.
  ///
  /// A request that ran alone, but not in isolation, only becomes a suspect,
  /// since hosts also fail for other reasons; it is quarantined if it was a
  /// suspect before.
  /// \param running  requests that were running on the server.
  /// \param isolated  whether the only request ran in isolation.
  /// \returns the resulting entries, to be sent to peers.
  std::vector<suspect_entry> RecordServerCrash(
      std::span<const request_fingerprint> running,
      bool isolated,
      wall_time now);
  /// \brief Records the start of an isolated run.
  suspect_entry RecordIsolatedRun(request_fingerprint fingerprint,
                                  wall_time now);
  /// \brief Records that the server did not crash in an isolated run.
  suspect_entry RecordCleared(request_fingerprint fingerprint, wall_time now);
  /// \brief Records that the claim of the request ended in quarantine.
  suspect_entry RecordQuarantined(request_fingerprint fingerprint,
                                  wall_time now);

  /// \brief Records that a server crashed under a request with the prompt part
  /// \p part.
  ///
  /// Requests that share only a part never add up as requests. A part is
  /// quarantined after kPartCrashes crashes, unless a request with it was
  /// completed: sound requests share parts with those that crash servers.
  void RecordPartCrash(request_fingerprint part, wall_time now);
  /// \brief Records that a request with the prompt part \p part was completed.
  void RecordPartCompletion(request_fingerprint part, wall_time now);

  /// \brief Merges an entry of a peer.
  /// \returns whether the table changed; only then the entry is passed on.
  bool Merge(const suspect_entry& entry, wall_time now);
  /// \returns all entries that have not expired, in no particular order.
  std::vector<suspect_entry> Entries(wall_time now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  const suspect_entry* Find(request_fingerprint fingerprint,
                            wall_time now) const;
  suspect_entry UpdateState(request_fingerprint fingerprint,
                            suspect_state state,
                            wall_time now);
  void EvictEntries(wall_time now);
  /// \returns whether a request with the part was completed a short time ago.
  bool IsCompletedPart(request_fingerprint part) const;

  std::size_t max_entries_;
  std::unordered_map<request_fingerprint, suspect_entry> entries_;
  /// Two generations of completed parts, so that the set is bounded.
  std::unordered_set<request_fingerprint> completed_parts_;
  std::unordered_set<request_fingerprint> older_completed_parts_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_CRASH_SUSPECTS_H_
