#include "src/routing/crash_suspects.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <tuple>
#include <utility>

#include "src/base/digest.h"

namespace cardamomyard {
namespace {

constexpr std::chrono::hours kEntryLifetime{1};
constexpr std::size_t kMaxCompletedParts = 8192;

auto MergeOrder(const suspect_entry& entry) {
  return std::tuple(entry.state == suspect_state::quarantined, entry.round,
                    entry.state, entry.expiry, entry.fingerprint);
}

}  // namespace

request_fingerprint Fingerprint(std::string_view account,
                                std::string_view path,
                                std::string_view body) {
  // Chained seeds give "a" + "bc" and "ab" + "c" different hashes.
  return Hash64(body, Hash64(path, Hash64(account)));
}

std::strong_ordering operator<=>(const suspect_entry& a,
                                 const suspect_entry& b) {
  return MergeOrder(a) <=> MergeOrder(b);
}

crash_suspects::crash_suspects(std::size_t max_entries)
    : max_entries_(max_entries) {
  assert(max_entries > 0 && "max_entries must be at least 1");
}

const suspect_entry* crash_suspects::Find(request_fingerprint fingerprint,
                                          wall_time now) const {
  const auto found = entries_.find(fingerprint);
  return found == entries_.end() || found->second.expiry <= now
             ? nullptr
             : &found->second;
}

suspect_decision crash_suspects::Decide(request_fingerprint fingerprint,
                                        wall_time now) const {
  const suspect_entry* entry = Find(fingerprint, now);
  if (entry == nullptr || entry->state == suspect_state::cleared) {
    return suspect_decision::run_normally;
  }
  return entry->state == suspect_state::quarantined
             ? suspect_decision::refuse
             : suspect_decision::run_isolated;
}

std::uint32_t crash_suspects::Round(request_fingerprint fingerprint,
                                    wall_time now) const {
  const suspect_entry* entry = Find(fingerprint, now);
  return entry == nullptr ? 0 : entry->round;
}

std::vector<suspect_entry> crash_suspects::RecordServerCrash(
    std::span<const request_fingerprint> running,
    bool isolated,
    wall_time now) {
  std::vector<suspect_entry> changed;
  for (const request_fingerprint fingerprint : running) {
    const bool was_suspect =
        Decide(fingerprint, now) != suspect_decision::run_normally;
    const bool is_poison = running.size() == 1 && (isolated || was_suspect);
    changed.push_back(UpdateState(
        fingerprint,
        is_poison ? suspect_state::quarantined : suspect_state::suspect, now));
  }
  return changed;
}

suspect_entry crash_suspects::RecordIsolatedRun(request_fingerprint fingerprint,
                                                wall_time now) {
  return UpdateState(fingerprint, suspect_state::isolated_run, now);
}

suspect_entry crash_suspects::RecordCleared(request_fingerprint fingerprint,
                                            wall_time now) {
  return UpdateState(fingerprint, suspect_state::cleared, now);
}

suspect_entry crash_suspects::RecordQuarantined(request_fingerprint fingerprint,
                                                wall_time now) {
  return UpdateState(fingerprint, suspect_state::quarantined, now);
}

suspect_entry crash_suspects::UpdateState(request_fingerprint fingerprint,
                                          suspect_state state,
                                          wall_time now) {
  suspect_entry entry{fingerprint, 0, state, now + kEntryLifetime};
  if (const suspect_entry* known = Find(fingerprint, now)) {
    // A crash of a cleared request starts a new round.
    const bool reopened = known->state == suspect_state::cleared &&
                          state == suspect_state::suspect;
    entry.round = known->round + (reopened ? 1 : 0);
  }
  Merge(entry, now);
  const suspect_entry* kept = Find(fingerprint, now);
  return kept == nullptr ? entry : *kept;
}

void crash_suspects::RecordPartCrash(request_fingerprint part, wall_time now) {
  const suspect_entry* known = Find(part, now);
  if (IsCompletedPart(part) ||
      (known != nullptr && known->state == suspect_state::cleared)) {
    return;
  }
  suspect_entry entry{part, 0, suspect_state::suspect, now + kEntryLifetime};
  if (known != nullptr) {
    entry.round = known->round + 1;
  }
  if (entry.round + 1 >= kPartCrashes) {
    entry.state = suspect_state::quarantined;
  }
  Merge(entry, now);
}

void crash_suspects::RecordPartCompletion(request_fingerprint part,
                                          wall_time now) {
  if (completed_parts_.size() >= kMaxCompletedParts) {
    older_completed_parts_ = std::move(completed_parts_);
    completed_parts_.clear();
  }
  completed_parts_.insert(part);
  const suspect_entry* known = Find(part, now);
  if (known != nullptr && known->state == suspect_state::suspect) {
    UpdateState(part, suspect_state::cleared, now);
  }
}

bool crash_suspects::IsCompletedPart(request_fingerprint part) const {
  return completed_parts_.contains(part) ||
         older_completed_parts_.contains(part);
}

bool crash_suspects::Merge(const suspect_entry& entry, wall_time now) {
  if (entry.expiry <= now) {
    return false;
  }
  const auto found = entries_.find(entry.fingerprint);
  if (found != entries_.end()) {
    if (found->second.expiry > now && entry <= found->second) {
      return false;
    }
    found->second = entry;
    return true;
  }
  if (entries_.size() >= max_entries_) {
    EvictEntries(now);
  }
  entries_.emplace(entry.fingerprint, entry);
  return true;
}

void crash_suspects::EvictEntries(wall_time now) {
  std::erase_if(entries_,
                [&](const auto& item) { return item.second.expiry <= now; });
  if (entries_.size() < max_entries_) {
    return;
  }
  // A lost cleared entry costs one isolated run. Quarantined entries prevent
  // further crashes, so they are kept longest.
  const auto eviction_order = [](const suspect_entry& entry) {
    const int severity = entry.state == suspect_state::cleared       ? 0
                         : entry.state == suspect_state::quarantined ? 2
                                                                     : 1;
    return std::tuple(severity, entry.expiry, entry.fingerprint);
  };
  std::vector<suspect_entry> all = Entries(now);
  // Evicts an eighth of the table at a time, so that the linear scan is rare.
  const std::size_t count = std::max<std::size_t>(1, max_entries_ / 8);
  std::nth_element(all.begin(),
                   all.begin() + static_cast<std::ptrdiff_t>(count - 1),
                   all.end(), [&](const auto& a, const auto& b) {
                     return eviction_order(a) < eviction_order(b);
                   });
  for (std::size_t i = 0; i < count; ++i) {
    entries_.erase(all[i].fingerprint);
  }
}

std::vector<suspect_entry> crash_suspects::Entries(wall_time now) const {
  std::vector<suspect_entry> all;
  for (const auto& [fingerprint, entry] : entries_) {
    if (entry.expiry > now) {
      all.push_back(entry);
    }
  }
  return all;
}

}  // namespace cardamomyard
