#include "src/config/generation_tracker.h"

#include <algorithm>
#include <bitset>
#include <set>
#include <string_view>
#include <utility>

#include "src/config/edit.h"

namespace cardamomyard {

bool generation_tracker::OfferHead(config_head head) {
  if (head.generation <= seen_) {
    return false;
  }
  seen_ = head.generation;
  pending_ = std::move(head);
  DropUnused();
  return true;
}

std::vector<std::string> generation_tracker::MissingBlobs() const {
  std::set<std::string> missing;  // empty shards share one blob
  if (pending_) {
    for (const std::string& name : pending_->blobs) {
      if (!blobs_.contains(name)) {
        missing.insert(name);
      }
    }
  }
  return {missing.begin(), missing.end()};
}

result<void> generation_tracker::AddBlob(const std::string& name,
                                         std::string data) {
  const bool wanted = pending_ && !blobs_.contains(name) &&
                      std::find(pending_->blobs.begin(), pending_->blobs.end(),
                                name) != pending_->blobs.end();
  if (!wanted) {
    return {};
  }
  auto records = internal::OpenBlob(name, data);
  if (!records) {
    return Fail(records.error());
  }
  blobs_[name] = {std::move(data), std::move(*records)};
  return {};
}

result<bool> generation_tracker::Advance() {
  if (!pending_ || !MissingBlobs().empty()) {
    return false;
  }
  config_head head = std::move(*pending_);
  pending_.reset();
  std::bitset<kShardCount> changed;
  for (std::size_t i = 0; i < kShardCount; ++i) {
    changed[i] = !snapshot_ || snapshot_->head.blobs[i] != head.blobs[i];
  }
  std::vector<record_ptr> records;
  if (snapshot_) {
    // Records of unchanged shards stay in order, which Make relies on for
    // speed.
    for (const record_ptr& record : snapshot_->content.records()) {
      if (!changed[ShardOf(record->id)]) {
        records.push_back(record);
      }
    }
  }
  for (std::size_t i = 0; i < kShardCount; ++i) {
    if (!changed[i]) {
      continue;
    }
    const opened_blob& blob = blobs_.at(head.blobs[i]);
    if (auto checked = internal::CheckShard(i, blob.records); !checked) {
      DropUnused();
      return Fail(checked.error());
    }
    records.insert(records.end(), blob.records.begin(), blob.records.end());
  }
  auto content = internal::MakeChecked(std::move(records));
  if (content) {
    snapshot_ = std::make_shared<const config_snapshot>(
        config_snapshot{std::move(head), std::move(*content)});
  }
  DropUnused();
  if (!content) {
    return Fail(content.error());
  }
  return true;
}

std::optional<std::string> generation_tracker::FindBlob(
    const std::string& name) const {
  const auto found = blobs_.find(name);
  if (found == blobs_.end()) {
    return std::nullopt;
  }
  return found->second.data;
}

void generation_tracker::DropUnused() {
  std::set<std::string_view> used;
  if (pending_) {
    used.insert(pending_->blobs.begin(), pending_->blobs.end());
  }
  if (snapshot_) {
    used.insert(snapshot_->head.blobs.begin(), snapshot_->head.blobs.end());
  }
  std::erase_if(
      blobs_, [&used](const auto& blob) { return !used.contains(blob.first); });
}

}  // namespace cardamomyard
