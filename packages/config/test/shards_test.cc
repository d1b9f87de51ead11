#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "cardamomyard/config.h"

namespace cardamomyard {
namespace {

configuration Accounts(const std::map<int, int>& bursts) {
  std::vector<record_ptr> records;
  records.reserve(bursts.size());
  for (const auto& [index, burst] : bursts) {
    records.push_back(MakeRecord(
        account_config{"a" + std::to_string(index), 0.1 * burst, burst, 1, {}},
        {entity_origin::source::folder, "a.toml"}));
  }
  return configuration::Make(std::move(records)).value();
}

blob_map ToMap(const blob_set& blobs) {
  blob_map map;
  for (const blob_ptr& blob : blobs) {
    map[blob->name] = blob->data;
  }
  return map;
}

bool SameBlobs(const blob_set& a, const blob_set& b) {
  return std::equal(a.begin(), a.end(), b.begin(),
                    [](const auto& x, const auto& y) { return *x == *y; });
}

config_head HeadOf(std::uint64_t generation, const blob_set& blobs) {
  config_head before;
  before.generation = generation - 1;
  return NextHead(before, blobs, "ops", "s", wall_time(), "n");
}

auto AnyBursts() {
  return rc::gen::container<std::map<int, int>>(rc::gen::inRange(0, 300),
                                                rc::gen::inRange(1, 9999));
}

// Differential test of the incremental update against encoding everything, and
// of Assemble as the inverse.
TEST(ShardsTest, Rule13_UpdateMatchesFullEncoding) {
  const bool passed = rc::check([] {
    const configuration before = Accounts(*AnyBursts());
    const configuration after = Accounts(*AnyBursts());
    const auto full = Shard(after);
    const auto updated = UpdateShards(Shard(before).value(), before, after);
    RC_ASSERT(updated.has_value());
    RC_ASSERT(SameBlobs(*full, *updated));
    RC_ASSERT(Assemble(HeadOf(1, *full), ToMap(*full)).value() == after);
  });
  EXPECT_TRUE(passed);
}

// Guards against a change of one entity that rewrites more than one blob.
TEST(ShardsTest, OneChangeWritesOneBlob) {
  std::map<int, int> bursts;
  for (int i = 0; i < 300; ++i) {
    bursts[i] = 1;
  }
  const configuration before = Accounts(bursts);
  bursts[7] = 2;
  const configuration after = Accounts(bursts);
  const blob_set old = Shard(before).value();
  const blob_set now = UpdateShards(old, before, after).value();
  std::size_t written = 0;
  for (std::size_t i = 0; i < kShardCount; ++i) {
    written += old[i] == now[i] ? 0 : 1;
  }
  EXPECT_EQ(written, 1U);
}

// Guards against a damaged, missing or misplaced blob being put in force.
TEST(ShardsTest, Rule13_DamagedBlobIsRefused) {
  const blob_set blobs = Shard(Accounts({{1, 1}, {2, 2}})).value();
  config_head head = HeadOf(1, blobs);
  const std::size_t shard = ShardOf("account/a1");
  blob_map map = ToMap(blobs);
  map[head.blobs[shard]] += " ";
  EXPECT_NE(Assemble(head, map).error().message().find("damaged"),
            std::string::npos);
  map.erase(head.blobs[shard]);
  EXPECT_EQ(Assemble(head, map).error().kind(), error_kind::not_ready);
  std::swap(head.blobs[shard], head.blobs[(shard + 1) % kShardCount]);
  EXPECT_FALSE(Assemble(head, ToMap(blobs)));
}

// Guards against a blob that the object API would refuse.
TEST(ShardsTest, OversizedShardIsRefused) {
  std::vector<std::string> versions;
  versions.reserve(10000);
  for (int i = 0; i < 10000; ++i) {
    versions.push_back(std::string(100, 'v') + std::to_string(i));
  }
  const auto whole = configuration::Make(
      {MakeRecord(model_config{"m", 1, versions, {}, false}, {})});
  EXPECT_EQ(Shard(*whole).error().kind(), error_kind::too_large);
}

// Guards against a head that a later process can't read, and a lost race that
// does not name the winner.
TEST(ShardsTest, HeadIsReadBack) {
  const blob_set blobs = Shard(configuration()).value();
  config_head head = NextHead(std::nullopt, blobs, "ana", "raise \"acme\"",
                              wall_time(std::chrono::microseconds(1500)), "n1");
  EXPECT_EQ(head.generation, 1U);
  EXPECT_EQ(config_head::Parse(head.ToJson()), head);
  EXPECT_FALSE(config_head::Parse("{\"generation\":1}"));
  EXPECT_FALSE(config_head::Parse("{"));
  const std::string lost = LostRace(head).message();
  EXPECT_NE(lost.find("ana"), std::string::npos);
  EXPECT_NE(lost.find("raise \"acme\""), std::string::npos);
}

// Stateful fuzz: heads arrive reordered, duplicated and lost, blobs late or
// damaged. The oracle is the highest head offered.
TEST(GenerationTrackerTest, Rule13_NeverRevertsAndConverges) {
  const bool passed = rc::check([] {
    constexpr int kGenerations = 6;
    std::vector<configuration> contents{configuration()};
    std::vector<config_head> heads(1);
    blob_map store;
    for (int i = 1; i <= kGenerations; ++i) {
      contents.push_back(Accounts(*rc::gen::resize(4, AnyBursts())));
      const blob_set blobs = Shard(contents.back()).value();
      heads.push_back(HeadOf(static_cast<std::uint64_t>(i), blobs));
      store.merge(ToMap(blobs));
    }
    generation_tracker tracker;
    std::uint64_t highest = 0;
    const auto check = [&] {
      RC_ASSERT(tracker.seen() == highest);
      RC_ASSERT(tracker.in_force() <= highest);
      if (tracker.in_force() != 0) {
        RC_ASSERT(tracker.snapshot()->content == contents[tracker.in_force()]);
        for (const std::string& name : heads[tracker.in_force()].blobs) {
          RC_ASSERT(tracker.FindBlob(name) == store[name]);
        }
      }
    };
    for (const int step :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40))) {
      const std::uint64_t before = tracker.in_force();
      const auto missing = tracker.MissingBlobs();
      if (step < 12) {
        const auto generation = static_cast<std::size_t>(step) / 2 + 1;
        RC_ASSERT(tracker.OfferHead(heads[generation]) ==
                  (generation > highest));
        highest = std::max<std::uint64_t>(highest, generation);
        RC_ASSERT(tracker.in_force() == before);
      } else if (step < 16 && !missing.empty()) {
        RC_ASSERT(!tracker.AddBlob(missing.front(), "[ ]").has_value());
        RC_ASSERT(tracker.MissingBlobs() == missing);
      } else if (step < 30 && !missing.empty()) {
        // Most of the time all blobs arrive, sometimes only a part.
        const std::size_t count =
            step < 27 ? missing.size() : missing.size() / 2;
        for (std::size_t i = 0; i < count; ++i) {
          RC_ASSERT(tracker.AddBlob(missing[i], store[missing[i]]).has_value());
        }
      } else {
        const bool changed = tracker.Advance().value();
        RC_ASSERT(changed == (missing.empty() && before < highest));
        RC_ASSERT(tracker.in_force() == (changed ? highest : before));
      }
      check();
    }
    for (const std::string& name : tracker.MissingBlobs()) {
      RC_ASSERT(tracker.AddBlob(name, store[name]).has_value());
    }
    RC_ASSERT(tracker.Advance().has_value());
    RC_ASSERT(tracker.in_force() == highest);
    check();
  });
  EXPECT_TRUE(passed);
}

// Guards against an invalid generation that takes the snapshot out of force or
// blocks the next one.
TEST(GenerationTrackerTest, Rule13_InvalidGenerationChangesNothing) {
  const blob_set good = Shard(Accounts({{1, 1}})).value();
  generation_tracker tracker;
  const auto offer = [&](const config_head& head) {
    EXPECT_TRUE(tracker.OfferHead(head));
    for (const auto& [name, data] : ToMap(good)) {
      EXPECT_TRUE(tracker.AddBlob(name, data));
    }
    return tracker.Advance();
  };
  ASSERT_EQ(offer(HeadOf(1, good)), true);
  config_head misplaced = HeadOf(2, good);
  const std::size_t shard = ShardOf("account/a1");
  std::swap(misplaced.blobs[shard], misplaced.blobs[(shard + 1) % kShardCount]);
  EXPECT_FALSE(offer(misplaced));
  EXPECT_EQ(tracker.in_force(), 1U);
  EXPECT_NE(tracker.snapshot()->content.FindAccount("a1"), nullptr);
  EXPECT_EQ(offer(HeadOf(3, good)), true);
}

}  // namespace
}  // namespace cardamomyard
