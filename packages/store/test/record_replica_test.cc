#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/store.h"

namespace cardamomyard {
namespace {

using record_map = std::map<std::string, store_record>;

constexpr unsigned kSeeds = 500;

store_record Record(const std::string& name, std::uint64_t revision) {
  return {name, "at " + std::to_string(revision), revision};
}

store_change Set(const std::string& name, std::uint64_t revision) {
  return {Record(name, revision), false};
}

store_change Removed(const std::string& name, std::uint64_t revision) {
  return {Record(name, revision), true};
}

std::vector<std::string> Names(const record_replica& replica) {
  std::vector<std::string> names;
  for (const auto& [name, record] : replica.records()) {
    names.push_back(name);
  }
  return names;
}

record_replica Listed(const store_snapshot& snapshot) {
  record_replica replica;
  replica.ApplySnapshot(snapshot);
  return replica;
}

// A peer that is told only what has changed must not keep a removed server, and
// one that is too far behind must be told everything.
TEST(removal_log, TellsWhatWasRemovedSinceOrThatItDoesNotKnow) {
  removal_log log;
  log.Reset(10);
  log.Add("a", 12);
  log.Add("b", 15);
  EXPECT_FALSE(log.Since(9));
  EXPECT_EQ(log.Since(10), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(log.Since(12), std::vector<std::string>{"b"});
  EXPECT_EQ(log.Since(15), std::vector<std::string>{});
  for (std::size_t i = 0; i < removal_log::kMaxRemovals; ++i) {
    log.Add("c", 20 + i);
  }
  EXPECT_FALSE(log.Since(12));
  EXPECT_TRUE(log.Since(15));
}

// A host that was cut off learns of a removal and of the return in one answer;
// peers that know the return already must not drop the record.
TEST(record_replica, ARecordThatIsBackIsNotToldAsRemoved) {
  const store_snapshot first{{Record("a", 5), Record("b", 6)}, 10};
  record_replica cut_off = Listed(first);
  record_replica peer = Listed(first);
  peer.ApplyChanges({{Removed("a", 5)}, 12});
  peer.ApplyChanges({{Set("a", 14)}, 14});
  const record_difference learnt =
      cut_off.ApplyChanges({{Removed("a", 5), Set("a", 14)}, 20});
  EXPECT_EQ(learnt.removed, std::vector<std::string>{"a"});
  EXPECT_EQ(learnt.changed, std::vector<store_record>{Record("a", 14)});
  cut_off.ApplyChanges({{Removed("b", 6)}, 22});
  const record_update update = cut_off.UpdateSince(peer.revision());
  EXPECT_EQ(update.removed, std::vector<std::string>{"b"});
  ASSERT_TRUE(peer.Adopt(update));
  EXPECT_EQ(Names(peer), std::vector<std::string>{"a"});
  EXPECT_FALSE(peer.needs_listing());
}

// A host that copied a wrong list must get the store's back although its watch
// has nothing to tell.
TEST(record_replica, AWrongCopyIsEndedByTheStore) {
  const store_snapshot first{{Record("a", 5), Record("b", 6)}, 10};
  record_replica replica = Listed(first);
  record_update wrong;
  wrong.revision = 20;
  wrong.since = 10;
  wrong.removed = {"a", "b"};
  EXPECT_EQ(replica.Adopt(wrong)->removed.size(), 2U);
  replica.ApplyChanges({{}, 15});
  EXPECT_FALSE(replica.needs_listing());
  EXPECT_TRUE(replica.ApplyChanges({{}, 20}).empty());
  EXPECT_TRUE(replica.needs_listing());
  const record_difference listed = replica.ApplySnapshot({first.records, 21});
  EXPECT_EQ(listed.corrected, 2U);
  EXPECT_EQ(Names(replica), (std::vector<std::string>{"a", "b"}));
  EXPECT_FALSE(replica.needs_listing());
}

// A watch that has lost events must not undo what a peer told rightly.
TEST(record_replica, AWatchThatLostEventsDoesNotBringBackARemovedRecord) {
  record_replica replica = Listed({{Record("a", 5), Record("b", 6)}, 10});
  record_replica peer = Listed({{Record("b", 6)}, 18});
  ASSERT_TRUE(replica.Adopt(peer.UpdateSince(replica.revision())));
  EXPECT_TRUE(replica.ApplyChanges({{}, 25}).empty());
  EXPECT_EQ(Names(replica), std::vector<std::string>{"b"});
  EXPECT_TRUE(replica.needs_listing());
  replica.ApplySnapshot({{Record("b", 6)}, 26});
  EXPECT_EQ(Names(replica), std::vector<std::string>{"b"});
  EXPECT_FALSE(replica.needs_listing());
}

// Without it a peer would keep a record that this host never had.
TEST(record_replica, ARecordThatCameAndWentInOneAnswerIsToldAsRemoved) {
  record_replica host = Listed({{}, 10});
  record_replica peer = Listed({{}, 10});
  peer.ApplyChanges({{Set("a", 12)}, 12});
  host.ApplyChanges({{Set("a", 12), Removed("a", 12)}, 14});
  host.ApplyChanges({{Set("b", 16)}, 16});
  ASSERT_TRUE(peer.Adopt(host.UpdateSince(peer.revision())));
  EXPECT_EQ(Names(peer), std::vector<std::string>{"b"});
  // Also when it was told by a third host that had it.
  record_replica third = Listed({{}, 10});
  ASSERT_TRUE(third.Adopt(host.UpdateSince(third.revision())));
  record_replica late = Listed({{}, 10});
  late.ApplyChanges({{Set("a", 12)}, 12});
  ASSERT_TRUE(late.Adopt(third.UpdateSince(late.revision())));
  EXPECT_EQ(Names(late), std::vector<std::string>{"b"});
}

// Hosts compare revisions several times a second; an answer that is late only
// for others must not make them all ask.
TEST(record_replica, TheRevisionIsThatOfTheLastChange) {
  record_replica replica = Listed({{Record("a", 5)}, 10});
  EXPECT_EQ(replica.revision(), 10U);
  replica.ApplyChanges({{}, 30});
  EXPECT_EQ(replica.revision(), 10U);
  replica.ApplyChanges({{Set("a", 35)}, 40});
  EXPECT_EQ(replica.revision(), 35U);
  // The revision of a removal is not told.
  replica.ApplyChanges({{Removed("a", 35)}, 50});
  EXPECT_EQ(replica.revision(), 50U);
}

// A change that a listing of several pages has overtaken is told again.
TEST(record_replica, OldChangesDoNotReplaceNewerRecords) {
  record_replica replica = Listed({{Record("a", 14)}, 10});
  replica.ApplyChanges({{Removed("a", 5)}, 12});
  EXPECT_EQ(Names(replica), std::vector<std::string>{"a"});
  replica.ApplyChanges({{Set("a", 13)}, 13});
  EXPECT_EQ(replica.records().at("a").revision, 14U);
  replica.ApplyChanges({{Removed("a", 14)}, 16});
  EXPECT_TRUE(Names(replica).empty());
}

/// \brief The store's records of one kind, with their history.
class model_store {
 public:
  explicit model_store(bool removals_have_revisions)
      : removals_have_revisions_(removals_have_revisions) {}

  void Put(const std::string& name) {
    records_[name] = Record(name, ++revision_);
    history_.push_back({revision_, {records_[name], false}});
  }
  void Remove(const std::string& name) {
    const auto found = records_.find(name);
    if (found == records_.end()) {
      return;
    }
    store_record last = found->second;
    ++revision_;
    if (removals_have_revisions_) {
      last.revision = revision_;
    }
    history_.push_back({revision_, {last, true}});
    records_.erase(found);
  }
  /// A change of another kind.
  void PutOther() { ++revision_; }
  void DropHistory() { oldest_ = revision_; }

  store_snapshot List() const {
    store_snapshot snapshot;
    snapshot.revision = revision_;
    for (const auto& [name, record] : records_) {
      snapshot.records.push_back(record);
    }
    return snapshot;
  }
  store_changes Watch(std::uint64_t after) const {
    store_changes answer;
    answer.revision = revision_;
    answer.history_lost = after < oldest_;
    for (const auto& [revision, change] : history_) {
      if (revision > after) {
        answer.changes.push_back(change);
      }
    }
    return answer;
  }
  const record_map& records() const { return records_; }
  std::uint64_t revision() const { return revision_; }

 private:
  bool removals_have_revisions_;
  record_map records_;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_ = 0;
  std::vector<std::pair<std::uint64_t, store_change>> history_;
};

/// \brief A host that follows the store and copies from its peers.
class model_host {
 public:
  /// One step of the follower. \returns whether the records were listed.
  bool Follow(const model_store& store) {
    if (listed_ && !replica_.needs_listing()) {
      const store_changes answer = store.Watch(watched_);
      if (!answer.history_lost) {
        watched_ = answer.revision;
        Record(replica_.ApplyChanges(answer));
        return false;
      }
    }
    const store_snapshot snapshot = store.List();
    watched_ = snapshot.revision;
    listed_ = true;
    Record(replica_.ApplySnapshot(snapshot));
    return true;
  }
  void CopyFrom(const model_host& peer) {
    if (peer.replica_.revision() <= replica_.known_revision()) {
      return;
    }
    const auto since = replica_.is_listed()
                           ? std::optional(replica_.known_revision())
                           : std::nullopt;
    if (const auto told = replica_.Adopt(peer.replica_.UpdateSince(since))) {
      Record(*told);
    }
  }
  const record_replica& replica() const { return replica_; }
  /// \returns the records that the differences add up to.
  const record_map& told() const { return told_; }

 private:
  void Record(const record_difference& difference) {
    for (const std::string& name : difference.removed) {
      EXPECT_EQ(told_.erase(name), 1U);
    }
    for (const store_record& record : difference.changed) {
      told_[record.name] = record;
    }
  }

  record_replica replica_;
  bool listed_ = false;
  std::uint64_t watched_ = 0;
  record_map told_;
};

/// Plays a random order of changes, cuts, restarts and copies between hosts.
void PlayOrder(unsigned seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  std::mt19937 random(seed);
  const auto pick = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  model_store store(pick(2) == 0);
  std::vector<model_host> hosts(4);
  const std::vector<std::string> names{"a", "b", "c", "d", "e"};
  // What the store held at each revision.
  std::map<std::uint64_t, record_map> past;
  for (int step = 0; step < 400; ++step) {
    const std::string& name = names[pick(names.size())];
    model_host& host = hosts[pick(hosts.size())];
    switch (pick(12)) {
      case 0:
      case 1:
        store.Put(name);
        break;
      case 2:
      case 3:
        store.Remove(name);
        break;
      case 4:
        store.PutOther();
        break;
      case 5:
        if (pick(20) == 0) {
          store.DropHistory();
        }
        break;
      case 6:
        if (pick(20) == 0) {
          host = model_host();
        }
        break;
      case 7:
      case 8:
        host.Follow(store);
        break;
      default:
        host.CopyFrom(hosts[pick(hosts.size())]);
        break;
    }
    past[store.revision()] = store.records();
    for (const model_host& each : hosts) {
      ASSERT_EQ(each.told(), each.replica().records()) << "step " << step;
      if (each.replica().is_listed()) {
        ASSERT_EQ(each.replica().records(), past[each.replica().revision()])
            << "step " << step;
      }
      ASSERT_FALSE(each.replica().needs_listing()) << "step " << step;
    }
  }
  for (model_host& host : hosts) {
    host.Follow(store);
    EXPECT_EQ(host.replica().records(), store.records());
  }
}

// Hosts that tell each other differences must end with the store's list, in
// whatever order they learn of removals and returns.
TEST(record_replica, HostsInAnyOrderEndWithTheRecordsOfTheStore) {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    PlayOrder(seed);
    if (HasFatalFailure()) {
      return;
    }
  }
}

}  // namespace
}  // namespace cardamomyard
