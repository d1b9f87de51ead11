#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

backend_entry Server(const std::string& id,
                     std::int64_t started = 100,
                     std::uint64_t revision = 5) {
  backend_entry entry;
  entry.id = id;
  entry.service = "lm";
  entry.slots = 4;
  entry.address = host_address::Make(
      "10.0.0.1", static_cast<std::uint16_t>(8000 + id.back()));
  entry.started_unix_ms = started;
  entry.revision = revision;
  return entry;
}

class leaving_servers : public ::testing::Test {
 protected:
  std::set<std::string> Usable() {
    std::set<std::string> ids;
    for (const usable_backend& server : directory_.Usable(clock_.Now())) {
      ids.insert(server.entry.id);
    }
    return ids;
  }

  void Register(const std::vector<backend_entry>& entries) {
    for (const backend_entry& entry : entries) {
      directory_.Upsert(entry, clock_.Now());
    }
  }

  /// \returns the server that an online request would go to, or nothing.
  std::string ChooseOnline() {
    backend_pool pool;
    pool.SetBackends(directory_.Usable(clock_.Now()));
    online_placement placement("g1", "z", 1);
    const auto chosen =
        placement.Choose(pool, "lm", {}, milliseconds(100), clock_.Now());
    const auto* place = std::get_if<chosen_backend>(&chosen);
    return place == nullptr ? "" : place->server.entry.id;
  }

  std::string ChooseForBatch() {
    backend_pool pool;
    pool.SetBackends(directory_.Usable(clock_.Now()));
    const auto chosen = batch_placement("w1").Choose(
        pool.Status("lm", clock_.Now()), {"w1"}, 0, clock_.Now());
    return chosen ? chosen->entry.id : "";
  }

  void Claim(const std::string& host, const std::vector<std::string>& ids) {
    std::vector<departure> claims;
    claims.reserve(ids.size());
    for (const std::string& id : ids) {
      claims.push_back({Server(id).instance(), milliseconds(0)});
    }
    directory_.departures().SetClaims(host, std::move(claims));
  }

  manual_clock clock_;
  backend_directory directory_{milliseconds(2000)};
};

TEST_F(leaving_servers, Rule11_GetNoNewWorkWhateverTheListsSay) {
  Register({Server("a"), Server("b")});
  EXPECT_TRUE(directory_.AnnounceLeaving(Server("a"), clock_.Now()));
  EXPECT_FALSE(directory_.TakesWork(Server("a")));
  EXPECT_EQ(Usable(), std::set<std::string>{"b"});
  EXPECT_EQ(ChooseOnline(), "b");
  EXPECT_EQ(ChooseForBatch(), "b");
  // The store's entry still says that it serves, in a newer and an older list.
  Register({Server("a", 100, 9), Server("b")});
  EXPECT_EQ(Usable(), std::set<std::string>{"b"});
  Register({Server("a", 50, 2), Server("b")});
  EXPECT_EQ(Usable(), std::set<std::string>{"b"});
  directory_.Remove("a", clock_.Now());
  clock_.Advance(milliseconds(60'000));
  EXPECT_EQ(Usable(), std::set<std::string>{"b"});
  directory_.Upsert(Server("a", 100, 12), clock_.Now());
  EXPECT_EQ(Usable(), std::set<std::string>{"b"});
}

TEST_F(leaving_servers, ServeAgainAsANewInstance) {
  directory_.Upsert(Server("a"), clock_.Now());
  directory_.AnnounceLeaving(Server("a"), clock_.Now());
  directory_.Upsert(Server("a", 200, 9), clock_.Now());
  EXPECT_EQ(Usable(), std::set<std::string>{"a"});
  EXPECT_TRUE(directory_.AnnouncedLeaving(clock_.Now()).empty());
}

// The answer is read late, when a new instance is registered already.
TEST_F(leaving_servers, TheAnnouncementHoldsForTheInstanceThatWasAsked) {
  directory_.Upsert(Server("a", 200, 9), clock_.Now());
  directory_.AnnounceLeaving(Server("a", 100, 5), clock_.Now());
  EXPECT_EQ(Usable(), std::set<std::string>{"a"});
  EXPECT_FALSE(directory_.TakesWork(Server("a", 100, 5)));
  // Records of it that were written later change nothing.
  directory_.Upsert(Server("b", 100, 5), clock_.Now());
  directory_.AnnounceLeaving(Server("b", 100, 3), clock_.Now());
  EXPECT_EQ(Usable(), std::set<std::string>{"a"});
}

// Servers of a platform that does not tell when they started.
TEST_F(leaving_servers, WithoutStartTimeServeAgainOnceTheyWereRemoved) {
  directory_.Upsert(Server("a", 0, 5), clock_.Now());
  directory_.AnnounceLeaving(Server("a", 0, 5), clock_.Now());
  directory_.Upsert(Server("a", 0, 7), clock_.Now());
  EXPECT_TRUE(Usable().empty());
  directory_.Remove("a", clock_.Now());
  directory_.Upsert(Server("a", 0, 5), clock_.Now());
  EXPECT_TRUE(Usable().empty());
  directory_.Upsert(Server("a", 0, 9), clock_.Now());
  EXPECT_EQ(Usable(), std::set<std::string>{"a"});
}

TEST_F(leaving_servers, AllAtOnceLeaveNoneToChoose) {
  Register({Server("a"), Server("b")});
  directory_.AnnounceLeaving(Server("a"), clock_.Now());
  directory_.AnnounceLeaving(Server("b"), clock_.Now());
  EXPECT_EQ(ChooseOnline(), "");
  EXPECT_EQ(ChooseForBatch(), "");
}

TEST_F(leaving_servers, OneHostsWordMakesALastResort) {
  Register({Server("a"), Server("b")});
  Claim("h1", {"a"});
  EXPECT_EQ(Usable(), (std::set<std::string>{"a", "b"}));
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ChooseOnline(), "b");
  }
  EXPECT_EQ(ChooseForBatch(), "b");
  Claim("h2", {"a"});
  EXPECT_EQ(Usable(), std::set<std::string>{"b"});
}

TEST_F(leaving_servers, OneHostsWordOnAllServersStopsNoWork) {
  Register({Server("a"), Server("b")});
  Claim("h1", {"a", "b"});
  EXPECT_NE(ChooseOnline(), "");
  EXPECT_NE(ChooseForBatch(), "");
}

TEST_F(leaving_servers, AreCountedBySource) {
  backend_entry draining = Server("d");
  draining.draining = true;
  Register({Server("a"), Server("b"), Server("c"), draining});
  directory_.AnnounceLeaving(Server("a"), clock_.Now());
  Claim("h1", {"b", "c"});
  Claim("h2", {"c"});
  EXPECT_EQ(directory_.CountLeaving(), (leaving_counts{1, 1, 1, 1}));
}

}  // namespace
}  // namespace cardamomyard
