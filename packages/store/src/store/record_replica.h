#ifndef CARDAMOMYARD_STORE_RECORD_REPLICA_H_
#define CARDAMOMYARD_STORE_RECORD_REPLICA_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/store/object_store.h"
#include "src/store/removal_log.h"

namespace cardamomyard {

/// \brief What has changed in the records in force.
struct record_difference {
  /// Removed records. One that has come back is among `changed` too.
  std::vector<std::string> removed;
  std::vector<store_record> changed;
  /// How many of `changed` a peer should have known, but had not.
  std::size_t corrected = 0;

  bool empty() const { return removed.empty() && changed.empty(); }
  friend bool operator==(const record_difference&,
                         const record_difference&) = default;
};

/// \brief The records of a host as of a revision, for another host.
struct record_update {
  std::uint64_t revision = 0;
  /// When set, `changed` holds only the records that are newer than this, and
  /// `removed` the names of those removed since; else all records.
  std::optional<std::uint64_t> since;
  std::vector<store_record> changed;
  std::vector<std::string> removed;
  friend bool operator==(const record_update&, const record_update&) = default;
};

/// \brief The records of one kind, from this host's watch of the store and from
/// peers that were ahead of it.
///
/// A peer's records hold until the watch has reached the revision that the peer
/// had. If they differ then from what the watch has told, one of both has
/// missed a change, and the store is to be listed again: a wrong copy lasts no
/// longer than the watch takes to catch up and a listing takes. Answers of the
/// store are applied whole: in between, the records would belong to no
/// revision.
class record_replica {
 public:
  /// Applies a complete listing of the store.
  record_difference ApplySnapshot(const store_snapshot& snapshot);
  /// Applies one answer of the watch that continues the listing, also one
  /// without changes.
  record_difference ApplyChanges(const store_changes& answer);
  /// Takes over a peer's records.
  /// \returns nothing when this host knows all of its changes, or when the
  /// update begins after what it knows.
  std::optional<record_difference> Adopt(const record_update& update);

  /// \returns the records for a peer that knows them as of \p since; all of
  /// them when it knows none or what was removed since is no longer known.
  record_update UpdateSince(std::optional<std::uint64_t> since) const;

  const std::map<std::string, store_record>& records() const {
    return records_;
  }
  /// \returns whether the records have been listed or adopted.
  bool is_listed() const { return is_listed_; }
  /// \returns the revision of the last change, for peers to compare.
  std::uint64_t revision() const { return revision_; }
  /// \returns the revision up to which this host knows the changes, by a
  /// listing or by changes. An answer without changes proves less: a watch may
  /// have lost them.
  std::uint64_t known_revision() const {
    return std::max(revision_, proven_revision_);
  }
  /// \returns whether the watch and a peer contradict each other, which
  /// ApplySnapshot() ends.
  bool needs_listing() const { return needs_listing_; }

 private:
  const store_record* FindInStore(const std::string& name) const;
  void SetInStore(const std::string& name, std::optional<store_record> record);
  void SetInForce(const std::string& name, std::optional<store_record> record);
  /// Puts the watch's records in force, once it has caught up.
  /// \param told  the names that the store has told of now; nothing for all.
  /// \param revision  of their last change, at least.
  record_difference Settle(const std::set<std::string>* told,
                           std::uint64_t revision);
  /// Checks the records in force against a watch that has caught up.
  void CompareWithStore();

  std::map<std::string, store_record> records_;
  std::uint64_t revision_ = 0;
  bool is_listed_ = false;
  removal_log removals_;

  // The store as this host's watch knows it: the revision, and what differs
  // from the records in force; nothing for a record that it does not have.
  bool is_watched_ = false;
  std::uint64_t store_revision_ = 0;
  std::uint64_t proven_revision_ = 0;
  std::map<std::string, std::optional<store_record>> store_differences_;
  std::set<std::string> removed_in_store_;
  bool needs_listing_ = false;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_STORE_RECORD_REPLICA_H_
