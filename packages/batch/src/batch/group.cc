#include "src/batch/group.h"

#include <algorithm>
#include <cassert>

#include "cardamomyard/statechart.h"
#include "src/batch/item_life.h"
#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace {

void SetNonce(group_record& record, std::string nonce) {
  record.nonce = std::move(nonce);
}

/// Fails an item whose run may have started and whose lease holder is gone.
void FailWithUnknownOutcome(group_item& item) {
  if (!internal::ApplyItemEvent(item, "lapse")) {
    return;
  }
  item.intent = true;
  item.failure = error_kind::unknown_outcome;
  item.message = "the holder stopped while the item may have run";
}

/// \returns the state of the group's lease in the state chart `lease`.
std::string_view LeaseState(const group_record& record, wall_time now) {
  if (record.holder.empty()) {
    return "free";
  }
  return now < record.lease_end + kLeaseTakeoverMargin ? "held" : "expired";
}

void FinishIfComplete(group_record& record) {
  if (record.Counts().total() == record.items.size()) {
    record.state = group_state::done;
    record.holder.clear();
  }
}

result<void> CheckLease(const group_record& record, const group_lease& lease) {
  if (record.finished()) {
    return Fail(error_kind::conflict, "the group has ended");
  }
  if (record.holder != lease.holder || record.fence != lease.fence) {
    return Fail(error_kind::conflict,
                "the group is held by \"" + record.holder +
                    "\" with fencing token " + std::to_string(record.fence));
  }
  return {};
}

std::string_view ToChartEvent(item_result::run_outcome outcome) {
  switch (outcome) {
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

result<void> ApplyResult(group_item& item,
                         const item_result& run_result,
                         std::optional<std::uint32_t> segment) {
  if (item.state != item_state::pending) {
    return Fail(
        error_kind::conflict,
        "item " + std::to_string(run_result.item) + " has a result already");
  }
  using run_outcome = item_result::run_outcome;
  const bool final = run_result.outcome == run_outcome::completed ||
                     run_result.outcome == run_outcome::failed;
  if (final && !segment) {
    return Fail(error_kind::internal,
                "a final result must be in a stored segment");
  }
  if (!final && item.intent && run_result.counts_as_attempt) {
    return Fail(error_kind::internal,
                "a non-repeatable item that may have run must not be retried");
  }
  if (result<void> advanced =
          internal::ApplyItemEvent(item, ToChartEvent(run_result.outcome));
      !advanced) {
    return advanced;
  }
  item.attempts += run_result.counts_as_attempt ? 1 : 0;
  if (!final) {
    return {};
  }
  if (run_result.outcome == run_outcome::failed) {
    item.failure = run_result.failure;
    item.message = internal::SanitizeMessage(run_result.message);
  }
  item.tokens = run_result.tokens;
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
                           std::chrono::milliseconds lease_duration,
                           std::string nonce) {
  group_record record = before.value_or(group_record{});
  if (!before) {
    record.items.resize(items);
  }
  if (record.finished()) {
    return Fail(error_kind::conflict, "the group has ended");
  }
  const bool is_holder = record.holder == holder;
  if (!ActiveCharts().lease.Next(LeaseState(record, now),
                                 is_holder ? "renew" : "acquire")) {
    return Fail(error_kind::overloaded,
                "the group is held by \"" + record.holder + "\"");
  }
  ++record.fence;
  record.holder = holder;
  record.lease_end =
      std::chrono::floor<std::chrono::milliseconds>(now) + lease_duration;
  for (group_item& item : record.items) {
    if (item.state == item_state::pending && item.intent) {
      FailWithUnknownOutcome(item);
    }
  }
  FinishIfComplete(record);
  SetNonce(record, std::move(nonce));
  return record;
}

result<group_record> Commit(group_record record,
                            const group_lease& lease,
                            std::string_view segment,
                            std::span<const item_result> results,
                            wall_time renew_until,
                            std::string nonce) {
  if (const result<void> held = CheckLease(record, lease); !held) {
    return Fail(held.error());
  }
  std::optional<std::uint32_t> segment_index;
  if (!segment.empty()) {
    segment_index = static_cast<std::uint32_t>(record.segments.size());
    record.segments.emplace_back(segment);
  }
  for (const item_result& run_result : results) {
    if (run_result.item >= record.items.size()) {
      return Fail(error_kind::internal,
                  "the group has no item " + std::to_string(run_result.item));
    }
    if (const result<void> applied = ApplyResult(record.items[run_result.item],
                                                 run_result, segment_index);
        !applied) {
      return Fail(applied.error());
    }
  }
  record.lease_end = std::chrono::floor<std::chrono::milliseconds>(renew_until);
  FinishIfComplete(record);
  SetNonce(record, std::move(nonce));
  return record;
}

result<group_record> RecordIntents(group_record record,
                                   const group_lease& lease,
                                   std::span<const std::size_t> items,
                                   wall_time renew_until,
                                   std::string nonce) {
  if (const result<void> held = CheckLease(record, lease); !held) {
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
  SetNonce(record, std::move(nonce));
  return record;
}

result<group_record> Release(group_record record,
                             const group_lease& lease,
                             std::string nonce) {
  if (const result<void> held = CheckLease(record, lease); !held) {
    return Fail(held.error());
  }
  for (const group_item& item : record.items) {
    if (item.state == item_state::pending && item.intent) {
      return Fail(error_kind::conflict,
                  "an item that may be running has no result yet");
    }
  }
  record.holder.clear();
  SetNonce(record, std::move(nonce));
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
      FailWithUnknownOutcome(item);
    } else {
      internal::ApplyItemEvent(item, "cancel");
    }
  }
  record.state = group_state::closed;
  record.holder.clear();
  ++record.fence;
  SetNonce(record, std::move(nonce));
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
    assert(i < busy.size() && "a running item must belong to this group");
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
              const group_lease& lease,
              wall_time now) {
  return CheckLease(record, lease).has_value() && now < record.lease_end;
}

std::string SegmentName(std::uint64_t fence, std::uint64_t sequence) {
  return std::to_string(fence) + "-" + std::to_string(sequence);
}

}  // namespace cardamomyard
