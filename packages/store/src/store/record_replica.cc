#include "src/store/record_replica.h"

#include <algorithm>
#include <utility>

namespace cardamomyard {
namespace {

/// \returns a revision of the store at which the records were as they are after
/// \p answer: that of the last change, if the answer tells it.
std::uint64_t LastChange(const store_changes& answer) {
  if (answer.changes.empty() || answer.changes.back().removed) {
    return answer.revision;
  }
  const std::uint64_t last = answer.changes.back().record.revision;
  const bool is_latest =
      std::ranges::all_of(answer.changes, [last](const store_change& change) {
        return change.record.revision <= last;
      });
  return is_latest && last > 0 ? last : answer.revision;
}

}  // namespace

const store_record* record_replica::FindInStore(const std::string& name) const {
  const auto differing = store_differences_.find(name);
  if (differing != store_differences_.end()) {
    return differing->second ? &*differing->second : nullptr;
  }
  const auto found = records_.find(name);
  return found != records_.end() ? &found->second : nullptr;
}

void record_replica::SetInStore(const std::string& name,
                                std::optional<store_record> record) {
  const auto in_force = records_.find(name);
  const bool is_same = in_force == records_.end()
                           ? !record
                           : record && *record == in_force->second;
  if (is_same) {
    store_differences_.erase(name);
  } else {
    store_differences_.insert_or_assign(name, std::move(record));
  }
}

void record_replica::SetInForce(const std::string& name,
                                std::optional<store_record> record) {
  std::optional<store_record> in_store;
  if (const store_record* known = FindInStore(name)) {
    in_store = *known;
  }
  if (record) {
    records_.insert_or_assign(name, std::move(*record));
  } else {
    records_.erase(name);
  }
  if (is_watched_) {
    SetInStore(name, std::move(in_store));
  }
}

record_difference record_replica::ApplySnapshot(
    const store_snapshot& snapshot) {
  std::map<std::string, store_record> listed;
  for (const store_record& record : snapshot.records) {
    listed.insert_or_assign(record.name, record);
  }
  is_watched_ = true;
  store_revision_ = snapshot.revision;
  proven_revision_ = snapshot.revision;
  store_differences_.clear();
  removed_in_store_.clear();
  for (const auto& [name, record] : records_) {
    if (!listed.contains(name)) {
      store_differences_.emplace(name, std::nullopt);
    }
  }
  for (auto& [name, record] : listed) {
    SetInStore(name, std::move(record));
  }
  // What came and went since the last answer is not known.
  removals_.Reset(std::max(revision_, store_revision_));
  needs_listing_ = false;
  return Settle(nullptr, snapshot.revision);
}

record_difference record_replica::ApplyChanges(const store_changes& answer) {
  std::set<std::string> told;
  std::set<std::string> removed;
  for (const store_change& change : answer.changes) {
    const std::string& name = change.record.name;
    const store_record* known = FindInStore(name);
    // A listing of several pages may be ahead of its revision.
    if (known != nullptr && change.record.revision > 0 &&
        known->revision > change.record.revision) {
      continue;
    }
    told.insert(name);
    if (change.removed) {
      SetInStore(name, std::nullopt);
      removed.insert(name);
    } else {
      SetInStore(name, change.record);
    }
  }
  store_revision_ = std::max(store_revision_, answer.revision);
  if (!answer.changes.empty()) {
    proven_revision_ = store_revision_;
  }
  for (const std::string& name : removed) {
    removals_.Add(name, std::max(revision_, store_revision_));
  }
  removed_in_store_.merge(removed);
  return Settle(&told, LastChange(answer));
}

record_difference record_replica::Settle(const std::set<std::string>* told,
                                         std::uint64_t revision) {
  record_difference difference;
  if (store_revision_ < revision_) {
    return difference;
  }
  for (auto it = store_differences_.begin(); it != store_differences_.end();) {
    auto& [name, record] = *it;
    const bool is_told = told == nullptr || told->contains(name) ||
                         (record && record->revision > revision_);
    if (!is_told) {
      ++it;
      continue;
    }
    const bool was_removed = !record || removed_in_store_.contains(name);
    if (was_removed && records_.contains(name)) {
      difference.removed.push_back(name);
    }
    if (record) {
      difference.corrected += is_listed_ && record->revision <= revision_;
      difference.changed.push_back(*record);
      records_.insert_or_assign(name, std::move(*record));
    } else {
      records_.erase(name);
    }
    it = store_differences_.erase(it);
  }
  removed_in_store_.clear();
  if (!difference.empty() || !is_listed_) {
    revision_ = std::max(revision_, revision);
  }
  is_listed_ = true;
  CompareWithStore();
  return difference;
}

void record_replica::CompareWithStore() {
  if (!is_watched_ || store_revision_ < revision_) {
    return;
  }
  for (const auto& [name, record] : store_differences_) {
    // A peer's listing of several pages may be ahead of its revision.
    const auto in_force = records_.find(name);
    if (in_force == records_.end() ||
        in_force->second.revision <= store_revision_) {
      needs_listing_ = true;
    }
  }
}

std::optional<record_difference> record_replica::Adopt(
    const record_update& update) {
  if (update.revision <= known_revision() ||
      (update.since && *update.since > known_revision())) {
    return std::nullopt;
  }
  std::set<std::string> removed(update.removed.begin(), update.removed.end());
  if (!update.since) {
    for (const auto& [name, record] : records_) {
      removed.insert(name);
    }
    for (const store_record& record : update.changed) {
      removed.erase(record.name);
    }
    removals_.Reset(update.revision);
  }
  record_difference difference;
  for (const store_record& record : update.changed) {
    const auto known = records_.find(record.name);
    const bool is_held = known != records_.end();
    if (is_held && known->second.revision >= record.revision) {
      removed.erase(record.name);
      continue;
    }
    if (removed.erase(record.name) > 0 && is_held) {
      difference.removed.push_back(record.name);
    }
    difference.changed.push_back(record);
    SetInForce(record.name, record);
  }
  for (const std::string& name : removed) {
    const auto known = records_.find(name);
    if (known != records_.end() && known->second.revision <= update.revision) {
      difference.removed.push_back(name);
      SetInForce(name, std::nullopt);
    }
  }
  if (update.since) {
    for (const std::string& name : update.removed) {
      removals_.Add(name, update.revision);
    }
  }
  revision_ = update.revision;
  is_listed_ = true;
  CompareWithStore();
  return difference;
}

record_update record_replica::UpdateSince(
    std::optional<std::uint64_t> since) const {
  record_update update;
  update.revision = revision_;
  if (since) {
    if (const auto removed = removals_.Since(*since)) {
      update.since = since;
      // A record that is back and that the peer knows was removed before.
      for (const std::string& name :
           std::set<std::string>(removed->begin(), removed->end())) {
        const auto found = records_.find(name);
        if (found == records_.end() || found->second.revision > *since) {
          update.removed.push_back(name);
        }
      }
    }
  }
  for (const auto& [name, record] : records_) {
    if (!update.since || record.revision > *update.since) {
      update.changed.push_back(record);
    }
  }
  return update;
}

}  // namespace cardamomyard
