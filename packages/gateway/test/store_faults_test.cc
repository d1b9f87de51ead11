#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "memory/await.h"
#include "memory/memory_store.h"
#include "src/gateway/internal_paths.h"
#include "src/gateway/inventory.h"
#include "src/gateway/relayed_store.h"
#include "src/gateway/worker_lease.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

using standins::Await;
using standins::memory_store;

// Guards against two owners of one job: the holder's lease must end before
// anyone may take its jobs, also when the holder was suspended.
TEST(WorkerLease, EndsForItsHolderBeforeOthersTakeItsJobs) {
  manual_clock clock;
  memory_store store;
  worker_lease holder(store, clock, "a", 1);
  worker_lease other(store, clock, "b", 1);
  ASSERT_TRUE(Await(holder.Renew()));
  EXPECT_FALSE(Await(other.HasLapsed("a")));
  milliseconds waited{0};
  while (!Await(other.HasLapsed("a"))) {
    clock.Advance(milliseconds(100));
    waited += milliseconds(100);
    if (waited >= worker_lease::kLeaseDuration) {
      EXPECT_FALSE(holder.IsHeld());
    }
  }
  EXPECT_FALSE(holder.IsHeld());
  EXPECT_GE(waited, worker_lease::kTakeoverDelay);
}

TEST(WorkerLease, RenewalsAndTheStoresAbsenceKeepTheJobs) {
  manual_clock clock;
  memory_store store;
  worker_lease holder(store, clock, "a", 1);
  worker_lease other(store, clock, "b", 1);
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(Await(holder.Renew()));
    EXPECT_FALSE(Await(other.HasLapsed("a")));
    clock.Advance(worker_lease::kRenewalPeriod);
  }
  store.faults = [](std::string_view, const std::string&) {
    return memory_store::fault::refused;
  };
  clock.Advance(milliseconds(10'000));
  EXPECT_FALSE(Await(holder.Renew()));
  EXPECT_FALSE(Await(other.HasLapsed("a")));
}

TEST(WorkerLease, ReleasedLeaseIsFreeAtOnce) {
  manual_clock clock;
  memory_store store;
  worker_lease holder(store, clock, "a", 1);
  worker_lease other(store, clock, "b", 1);
  ASSERT_TRUE(Await(holder.Renew()));
  boost::asio::io_context context;
  boost::asio::co_spawn(context, holder.Release(), boost::asio::use_future);
  context.run();
  EXPECT_TRUE(Await(other.HasLapsed("a")));
  EXPECT_FALSE(Await(holder.Renew()));
}

TEST(WorkerLease, RestartedHolderTakesItsOwnLeaseAgain) {
  manual_clock clock;
  memory_store store;
  worker_lease before(store, clock, "a", 1);
  ASSERT_TRUE(Await(before.Renew()));
  worker_lease after(store, clock, "a", 2);
  EXPECT_TRUE(Await(after.Renew()));
  // The first incarnation, if it still runs, finds that it has lost it, takes
  // it again, and both write with the same name: the last one wins.
  EXPECT_TRUE(Await(before.Renew()));
}

/// A peer that makes store calls for others, at its own store.
class relay_fixture : public ::testing::Test {
 protected:
  void SetUp() override {
    client_ = std::move(*http_client::Create());
    auto own = std::make_unique<memory_store>();
    own_ = own.get();
    auto peers = std::make_unique<memory_store>();
    peers_store_ = peers.get();
    peer_ = std::make_unique<relayed_store>(std::move(peers), clock_, *client_);
    store_ = std::make_unique<relayed_store>(std::move(own), clock_, *client_);
    auto server = http_server::Create(
        {}, threads_,
        [this](http_exchange& exchange) -> boost::asio::awaitable<void> {
          const auto body = co_await exchange.ReadBody(1U << 20U);
          const auto call = Decode<store_call>(*body);
          http_response answer;
          answer.body = Encode(co_await peer_->Serve(*call));
          co_await exchange.Send(std::move(answer));
        });
    server_ = std::move(*server);
    server_->Start();
    store_->SetPeers({server_->address()});
  }

  template <class T>
  T RunHere(boost::asio::awaitable<T> work) {
    return boost::asio::co_spawn(threads_.At(0), std::move(work),
                                 boost::asio::use_future)
        .get();
  }

  host_clock clock_;
  thread_pool threads_{2};
  std::unique_ptr<http_client> client_;
  std::unique_ptr<relayed_store> peer_;
  std::unique_ptr<relayed_store> store_;
  memory_store* own_ = nullptr;
  memory_store* peers_store_ = nullptr;
  std::unique_ptr<http_server> server_;
};

// Guards against hosts that cannot work while the store serves their peers.
TEST_F(relay_fixture, CallsGoThroughAPeerWhileTheStoreTurnsThisHostAway) {
  own_->faults = [](std::string_view, const std::string&) {
    return memory_store::fault::refused;
  };
  const auto made = RunHere(store_->Create("kind", "name", "value"));
  ASSERT_TRUE(made) << made.error().message();
  EXPECT_TRUE(peers_store_->records.contains({"kind", "name"}));
  const auto read = RunHere(store_->Get("kind", "name"));
  ASSERT_TRUE(read && *read);
  EXPECT_EQ((*read)->value, "value");
  EXPECT_EQ(RunHere(store_->Create("kind", "name", "other")).error().kind(),
            error_kind::conflict);
}

// Guards against a write that is done twice: one that may have taken effect is
// not repeated through a peer.
TEST_F(relay_fixture, WriteThatMayHaveTakenEffectIsNotRelayed) {
  own_->faults = [](std::string_view, const std::string&) {
    return memory_store::fault::lost_after;
  };
  const auto made = RunHere(store_->Create("kind", "name", "value"));
  ASSERT_FALSE(made);
  EXPECT_EQ(made.error().ran(), outcome::may_have_run);
  EXPECT_TRUE(peers_store_->records.empty());
}

TEST_F(relay_fixture, StoreThatIsDownForAllIsReportedAsUnavailable) {
  for (memory_store* store : {own_, peers_store_}) {
    store->faults = [](std::string_view, const std::string&) {
      return memory_store::fault::refused;
    };
  }
  const auto made = RunHere(store_->Create("kind", "name", "value"));
  ASSERT_FALSE(made);
  EXPECT_EQ(made.error().kind(), error_kind::store_unavailable);
  EXPECT_EQ(made.error().ran(), outcome::not_run);
}

// Guards against a watch that lost its events in the store and shows nothing
// until its history is gone: the follower must list the kind again.
TEST(ObjectFollower, ListsAgainWhenTheHistoryIsLost) {
  const host_clock clock;
  memory_store store;
  store.Put("config", "main", "1");
  boost::asio::io_context context;
  std::string seen;
  int snapshots = 0;
  follower_events events;
  events.on_snapshot = [&](const store_snapshot& snapshot) {
    ++snapshots;
    seen = snapshot.records.empty() ? "" : snapshot.records[0].value;
    if (snapshots == 1) {
      store.silent_watches = true;
      store.Put("config", "main", "2");
    } else {
      context.stop();
    }
  };
  events.on_change = [](const store_change&, std::uint64_t) {};
  events.on_contact = [](bool) {};
  object_follower follower(store, clock, "config", events);
  follower.SetWait(milliseconds(5));
  boost::asio::co_spawn(context, follower.Run(), kEndOnException);
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        co_await SleepFor(milliseconds(30));
        store.oldest_revision = store.revision;
      },
      kEndOnException);
  context.run_for(std::chrono::seconds(5));
  EXPECT_EQ(snapshots, 2);
  EXPECT_EQ(seen, "2");
}

}  // namespace
}  // namespace cardamomyard
