#ifndef CARDAMOMYARD_BATCH_GROUP_H_
#define CARDAMOMYARD_BATCH_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/batch/batch_limits.h"
#include "src/batch/item.h"

namespace cardamomyard {

/// `done`: every item has a result; `closed`: ended by the cancellation of the
/// job. Both are final: no function changes such a record.
enum class group_state { open, done, closed };

/// \brief Record of a group, the items of one chunk.
///
/// Stored as `batch/group/<job id>/<n>` and written only by conditional update.
struct group_record {
  group_state state = group_state::open;
  std::string holder;       ///< Lease holder; empty when the group is free.
  std::uint64_t fence = 0;  ///< Fencing token: grows with each claim and on
                            ///< cancellation.
  wall_time lease_end;
  std::vector<group_item> items;
  std::vector<std::string> segments;  ///< Names of the committed segments.
  std::string nonce;                  ///< Differs for every write.

  bool finished() const { return state != group_state::open; }
  item_counts Counts() const;
  std::string ToJson() const;
  static result<group_record> Parse(std::string_view text);
  friend bool operator==(const group_record&, const group_record&) = default;
};

/// \brief Identifies one lease of a group by its holder and fencing token.
struct group_lease {
  std::string holder;
  std::uint64_t fence = 0;

  friend bool operator==(const group_lease&, const group_lease&) = default;
};

/// \brief Acquires the lease of a group, or renews it for its holder, with a
/// new fencing token.
///
/// Write the new record on the condition of the version that was read
/// (create-only when there was no record). Items with an intent and no result
/// end as failed with `unknown_outcome`, which may finish the group.
/// \param before  the record as read, or nothing.
/// \param items  number of items in the chunk, used when there is no record.
/// \param holder  differs for each start of a process.
/// \returns the new record; `overloaded` while another holder's lease may be
/// valid; `conflict` when the group has ended. A caller that reads a `done`
/// record counts it in the job record, since the last holder may have crashed
/// before it did so.
result<group_record> Claim(const std::optional<group_record>& before,
                           std::size_t items,
                           std::string_view holder,
                           wall_time now,
                           std::chrono::milliseconds lease_duration,
                           std::string nonce);

/// \brief Adds results and renews the lease in one write. The results are
/// committed when that write takes effect.
/// \param segment  name of the stored segment with the lines of the completed
/// and failed items; empty when there are none.
/// \returns the new record; `conflict` when \p lease is not the current one,
/// the group has ended, or an item has a result already.
result<group_record> Commit(group_record record,
                            const group_lease& lease,
                            std::string_view segment,
                            std::span<const item_result> results,
                            wall_time renew_until,
                            std::string nonce);

/// \brief Records the intent to run the non-repeatable \p items. They may start
/// only after this record is stored.
result<group_record> RecordIntents(group_record record,
                                   const group_lease& lease,
                                   std::span<const std::size_t> items,
                                   wall_time renew_until,
                                   std::string nonce);

/// \brief Releases the lease of an unfinished group.
/// \returns the new record; `conflict` while an item has an intent and no
/// result, since the next holder would end that item as failed.
result<group_record> Release(group_record record,
                             const group_lease& lease,
                             std::string nonce);

/// \brief Closes a group of a cancelled job, whichever process holds its lease.
///
/// Pending items end as cancelled, or as failed with `unknown_outcome` when
/// they have an intent. A finished record is returned unchanged.
group_record CloseForCancel(const std::optional<group_record>& before,
                            std::size_t items,
                            std::string nonce);

/// \brief Chooses the items to start next.
///
/// Crash suspects, that is items during whose run an engine crashed, run after
/// all others, each of them alone. Items with an intent are not started again.
/// \param running  items that the holder runs now.
/// \returns at most \p free_slots positions.
std::vector<std::size_t> NextItems(const group_record& record,
                                   std::span<const std::size_t> running,
                                   std::size_t free_slots);

/// \brief Tells whether \p lease is current and has not ended by the holder's
/// own clock.
///
/// A holder checks this directly before each start, since it may have been
/// paused. An item whose intent is stored but that was not started is committed
/// as a retry that does not count as an attempt.
bool MayStart(const group_record& record,
              const group_lease& lease,
              wall_time now);

/// \returns the name of a result segment below `batch/out/<job id>/<n>/`.
std::string SegmentName(std::uint64_t fence, std::uint64_t sequence);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_GROUP_H_
