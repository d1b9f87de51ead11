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

/// `done` and `closed` are final: no function changes such a record.
enum class group_state { open, done, closed };

/// \brief Record of a group: `batch/group/<job id>/<n>`, the items of one
/// chunk. Written by conditional update only.
struct group_record {
  group_state state = group_state::open;
  std::string holder;  ///< Empty when nobody holds the group.
  std::uint64_t fence = 0;
  wall_time lease_end;
  std::vector<group_item> items;
  std::vector<std::string> segments;  ///< Names of committed segments.
  std::string nonce;                  ///< Differs for every write.

  bool finished() const { return state != group_state::open; }
  item_counts Counts() const;
  std::string ToJson() const;
  static result<group_record> Parse(std::string_view text);
  friend bool operator==(const group_record&, const group_record&) = default;
};

/// \brief Who holds a group, as the holder itself knows it.
struct group_lease {
  std::string holder;
  std::uint64_t fence = 0;

  friend bool operator==(const group_lease&, const group_lease&) = default;
};

/// \brief Takes a group over, to be written on the condition of the version
/// that was read (create-only when there was no record).
///
/// Items with an intent and no result end as failed with `unknown_outcome`.
/// That may finish the group.
/// \param before  the record as read, or nothing.
/// \param items  number of items of the chunk, used when there is no record.
/// \param holder  differs for each start of a process.
/// \returns the new record; `overloaded` while another holder's lease may be
/// valid; `conflict` when the group has ended. A caller that reads a `done`
/// record counts it in the job record, since the last holder may have died
/// before it did so.
result<group_record> Claim(const std::optional<group_record>& before,
                           std::size_t items,
                           std::string_view holder,
                           wall_time now,
                           std::chrono::milliseconds lease,
                           std::string nonce);

/// \brief Adds results and renews the lease in one write: the commit point.
/// \param segment  name of the stored segment with the lines of the completed
/// and failed items; empty when there are none.
/// \returns the new record; `conflict` when \p hold is not the holder, the
/// group has ended, or an item has a result already.
result<group_record> Commit(group_record record,
                            const group_lease& hold,
                            std::string_view segment,
                            std::span<const item_result> results,
                            wall_time renew_until,
                            std::string nonce);

/// \brief Records that the non-repeatable \p items are about to run. They may
/// start only after this record is stored.
result<group_record> RecordIntents(group_record record,
                                   const group_lease& hold,
                                   std::span<const std::size_t> items,
                                   wall_time renew_until,
                                   std::string nonce);

/// \brief Gives an unfinished group back; refused while an intent has no
/// result, since the next holder would end that item.
result<group_record> Release(group_record record,
                             const group_lease& hold,
                             std::string nonce);

/// \brief Closes a group of a cancelled job, whoever holds it.
///
/// Pending items end as cancelled, and as failed with `unknown_outcome` when
/// they have an intent. A finished record is returned unchanged.
group_record CloseForCancel(const std::optional<group_record>& before,
                            std::size_t items,
                            std::string nonce);

/// \brief Chooses the items to start next.
///
/// Crash suspects run after all others, one at a time and with nothing beside
/// them. Items with an intent are not started again.
/// \param running  items that the holder runs now.
/// \returns at most \p free_slots positions.
std::vector<std::size_t> NextItems(const group_record& record,
                                   std::span<const std::size_t> running,
                                   std::size_t free_slots);

/// \brief Tells whether a holder may start items now, by its own clock.
///
/// A holder checks this directly before each start, since it may have been
/// paused. An item whose intent is stored and that was not started is committed
/// as a retry that counts as no attempt.
bool MayStart(const group_record& record,
              const group_lease& hold,
              wall_time now);

/// \returns the name of a result segment, relative to `batch/out/<job id>/<n>/`
std::string SegmentName(std::uint64_t fence, std::uint64_t sequence);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_GROUP_H_
