#include "src/batch/group.h"

#include <algorithm>
#include <cassert>

#include "cardamomyard/statechart.h"
#include "src/batch/item_life.h"
#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace {

void Stamp(group_record& record, std::string nonce) {
  record.nonce = std::move(nonce);
}

/// Ends an item whose run may have started and whose holder is gone.
void EndUnknown(group_item& item) {
  if (!internal::ApplyItemEvent(item, "lapse")) {
    return;
  }
  item.intent = true;
  item.failure = error_kind::unknown_outcome;
  item.message = "the holder stopped while the item may have run";
}

/// \returns the state of the group's lease for the chart lease.
std::string_view LeaseState(const group_record& record, wall_time now) {
  if (record.holder.empty()) {
    return "free";
  }
  return now < record.lease_end + kLeaseTakeoverMargin ? "held" : "expired";
}

void CloseIfDone(group_record& record) {
  if (record.Counts().total() == record.items.size()) {
    record.state = group_state::done;
    record.holder.clear();
  }
}

result<void> CheckHold(const group_record& record, const group_lease& hold) {
  if (record.finished()) {
    return Fail(error_kind::conflict, "the group has ended");
  }
  if (record.holder != hold.holder || record.fence != hold.fence) {
    return Fail(error_kind::conflict, "the group is held by \"" +
                                          record.holder + "\" with fence " +
                                          std::to_string(record.fence));
  }
  return {};
}

std::string_view EventOf(item_result::run_outcome ended) {
  switch (ended) {
    case item_result::run_outcome::completed:
      return "complete";
    case item_result::run_outcome::failed:
      return "fail";
    case item_result::run_outcome::retry:
      return "retry";
    case item_result::run_outcome::suspect:
      return "crash";
  }
  return "";
}

result<void> Apply(group_item& item,
                   const item_result& ended,
                   std::optional<std::uint32_t> segment) {
  if (item.state != item_state::pending) {
    return Fail(error_kind::conflict,
                "item " + std::to_string(ended.item) + " has a result already");
  }
  using run_outcome = item_result::run_outcome;
  const bool final = ended.outcome == run_outcome::completed ||
                     ended.outcome == run_outcome::failed;
  if (final && !segment) {
    return Fail(error_kind::internal,
                "a final result must be in a stored segment");
  }
  if (!final && item.intent && ended.counts_as_attempt) {
    return Fail(error_kind::internal,
                "a non-repeatable item that may have run must not be retried");
  }
  if (result<void> advanced =
          internal::ApplyItemEvent(item, EventOf(ended.outcome));
      !advanced) {
    return advanced;
  }
  item.attempts += ended.counts_as_attempt ? 1 : 0;
  if (!final) {
    return {};
  }
  if (ended.outcome == run_outcome::failed) {
    item.failure = ended.failure;
    item.message = internal::SanitizeMessage(ended.message);
  }
  item.tokens = ended.tokens;
  item.segment = segment;
  return {};
}

}  // namespace

item_counts group_record::Counts() const {
  item_counts counts;
  for (const group_item& item : items) {
    counts.completed += item.state == item_state::completed ? 1 : 0;
    counts.failed += item.state == item_state::failed ? 1 : 0;
    counts.cancelled += item.state == item_state::cancelled ? 1 : 0;
  }
  return counts;
}

result<group_record> Claim(const std::optional<group_record>& before,
                           std::size_t items,
                           std::string_view holder,
                           wall_time now,
                           std::chrono::milliseconds lease,
                           std::string nonce) {
  group_record record = before.value_or(group_record{});
  if (!before) {
    record.items.resize(items);
  }
  if (record.finished()) {
    return Fail(error_kind::conflict, "the group has ended");
  }
  const bool own = record.holder == holder;
  if (!ActiveCharts().lease.Next(LeaseState(record, now),
                                 own ? "renew" : "acquire")) {
    return Fail(error_kind::overloaded,
                "the group is held by \"" + record.holder + "\"");
  }
  ++record.fence;
  record.holder = holder;
  record.lease_end = std::chrono::floor<std::chrono::milliseconds>(now) + lease;
  for (group_item& item : record.items) {
    if (item.state == item_state::pending && item.intent) {
      EndUnknown(item);
    }
  }
  CloseIfDone(record);
  Stamp(record, std::move(nonce));
  return record;
}

result<group_record> Commit(group_record record,
                            const group_lease& hold,
                            std::string_view segment,
                            std::span<const item_result> results,
                            wall_time renew_until,
                            std::string nonce) {
  if (const result<void> held = CheckHold(record, hold); !held) {
    return Fail(held.error());
  }
  std::optional<std::uint32_t> index;
  if (!segment.empty()) {
    index = static_cast<std::uint32_t>(record.segments.size());
    record.segments.emplace_back(segment);
  }
  for (const item_result& ended : results) {
    if (ended.item >= record.items.size()) {
      return Fail(error_kind::internal,
                  "the group has no item " + std::to_string(ended.item));
    }
    if (const result<void> applied =
            Apply(record.items[ended.item], ended, index);
        !applied) {
      return Fail(applied.error());
    }
  }
  record.lease_end = std::chrono::floor<std::chrono::milliseconds>(renew_until);
  CloseIfDone(record);
  Stamp(record, std::move(nonce));
  return record;
}

result<group_record> RecordIntents(group_record record,
                                   const group_lease& hold,
                                   std::span<const std::size_t> items,
                                   wall_time renew_until,
                                   std::string nonce) {
  if (const result<void> held = CheckHold(record, hold); !held) {
    return Fail(held.error());
  }
  for (const std::size_t i : items) {
    if (i >= record.items.size()) {
      return Fail(error_kind::conflict,
                  "item " + std::to_string(i) + " cannot be started");
    }
    if (result<void> intended =
            internal::ApplyItemEvent(record.items[i], "intend");
        !intended) {
      return Fail(intended.error());
    }
  }
  record.lease_end = std::chrono::floor<std::chrono::milliseconds>(renew_until);
  Stamp(record, std::move(nonce));
  return record;
}

result<group_record> Release(group_record record,
                             const group_lease& hold,
                             std::string nonce) {
  if (const result<void> held = CheckHold(record, hold); !held) {
    return Fail(held.error());
  }
  for (const group_item& item : record.items) {
    if (item.state == item_state::pending && item.intent) {
      return Fail(error_kind::conflict,
                  "an item that may be running has no result yet");
    }
  }
  record.holder.clear();
  Stamp(record, std::move(nonce));
  return record;
}

group_record CloseForCancel(const std::optional<group_record>& before,
                            std::size_t items,
                            std::string nonce) {
  group_record record = before.value_or(group_record{});
  if (record.finished()) {
    return record;
  }
  if (!before) {
    record.items.resize(items);
  }
  for (group_item& item : record.items) {
    if (item.state != item_state::pending) {
      continue;
    }
    if (item.intent) {
      EndUnknown(item);
    } else {
      internal::ApplyItemEvent(item, "cancel");
    }
  }
  record.state = group_state::closed;
  record.holder.clear();
  ++record.fence;
  Stamp(record, std::move(nonce));
  return record;
}

std::vector<std::size_t> NextItems(const group_record& record,
                                   std::span<const std::size_t> running,
                                   std::size_t free_slots) {
  std::vector<std::size_t> next;
  if (record.finished() || free_slots == 0) {
    return next;
  }
  std::vector<bool> busy(record.items.size());
  for (const std::size_t i : running) {
    assert(i < busy.size() && "a running item must be of this group");
    if (record.items[i].crashes > 0) {
      return next;
    }
    busy[i] = true;
  }
  std::optional<std::size_t> suspect;
  for (std::size_t i = 0; i < record.items.size(); ++i) {
    const group_item& item = record.items[i];
    if (item.state != item_state::pending || item.intent || busy[i]) {
      continue;
    }
    if (item.crashes > 0) {
      suspect = suspect.value_or(i);
    } else if (next.size() < free_slots) {
      next.push_back(i);
    } else {
      break;
    }
  }
  if (next.empty() && running.empty() && suspect) {
    next.push_back(*suspect);
  }
  return next;
}

bool MayStart(const group_record& record,
              const group_lease& hold,
              wall_time now) {
  return CheckHold(record, hold).has_value() && now < record.lease_end;
}

std::string SegmentName(std::uint64_t fence, std::uint64_t sequence) {
  return std::to_string(fence) + "-" + std::to_string(sequence);
}

}  // namespace cardamomyard
