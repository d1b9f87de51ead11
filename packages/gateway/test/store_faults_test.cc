#include <gtest/gtest.h>

#include <atomic>
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

// A job has two owners when another worker takes it over before the lease has
// ended for its holder. This must not happen, even for a suspended holder.
TEST(WorkerLease, EndsForItsHolderBeforeOthersTakeOverItsJobs) {
  manual_clock clock;
  memory_store store;
  worker_lease holder(store, clock, "a", 1);
  worker_lease observer(store, clock, "b", 1);
  ASSERT_TRUE(Await(holder.Renew()));
  EXPECT_FALSE(Await(observer.HasLapsed("a")));
  milliseconds waited{0};
  while (!Await(observer.HasLapsed("a"))) {
    clock.Advance(milliseconds(100));
    waited += milliseconds(100);
    if (waited >= worker_lease::kLeaseDuration) {
      EXPECT_FALSE(holder.IsHeld());
    }
  }
  EXPECT_FALSE(holder.IsHeld());
  EXPECT_GE(waited, worker_lease::kTakeoverDelay);
}

TEST(WorkerLease, DoesNotLapseWhileRenewedOrWhileTheStoreIsUnavailable) {
  manual_clock clock;
  memory_store store;
  worker_lease holder(store, clock, "a", 1);
  worker_lease observer(store, clock, "b", 1);
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(Await(holder.Renew()));
    EXPECT_FALSE(Await(observer.HasLapsed("a")));
    clock.Advance(worker_lease::kRenewalPeriod);
  }
  store.faults = [](std::string_view, const std::string&) {
    return memory_store::fault::refused;
  };
  clock.Advance(milliseconds(10'000));
  EXPECT_FALSE(Await(holder.Renew()));
  EXPECT_FALSE(Await(observer.HasLapsed("a")));
}

TEST(WorkerLease, IsLapsedAtOnceWhenReleased) {
  manual_clock clock;
  memory_store store;
  worker_lease holder(store, clock, "a", 1);
  worker_lease observer(store, clock, "b", 1);
  ASSERT_TRUE(Await(holder.Renew()));
  boost::asio::io_context context;
  boost::asio::co_spawn(context, holder.Release(), boost::asio::use_future);
  context.run();
  EXPECT_TRUE(Await(observer.HasLapsed("a")));
  EXPECT_FALSE(Await(holder.Renew()));
}

TEST(WorkerLease, IsRenewedByARestartedHolder) {
  manual_clock clock;
  memory_store store;
  worker_lease first(store, clock, "a", 1);
  ASSERT_TRUE(Await(first.Renew()));
  worker_lease restarted(store, clock, "a", 2);
  EXPECT_TRUE(Await(restarted.Renew()));
  // An earlier incarnation that still runs gets a conflict, reads the record
  // and renews again. Both write under the same name, and the last write wins.
  EXPECT_TRUE(Await(first.Renew()));
}

/// A host under test and a peer that relays store calls for it, each with a
/// store of its own.
class relay_fixture : public ::testing::Test {
 protected:
  void SetUp() override {
    client_ = std::move(*http_client::Create());
    auto own_store = std::make_unique<memory_store>();
    own_store_ = own_store.get();
    auto peer_store = std::make_unique<memory_store>();
    peer_store_ = peer_store.get();
    peer_ = std::make_unique<relayed_store>(std::move(peer_store), clock_,
                                            *client_);
    store_ =
        std::make_unique<relayed_store>(std::move(own_store), clock_, *client_);
    auto server = http_server::Create(
        {}, threads_,
        [this](http_exchange& exchange) -> boost::asio::awaitable<void> {
          const auto body = co_await exchange.ReadBody(1U << 20U);
          const auto call = Decode<store_call>(*body);
          http_response answer;
          answer.body = Encode(co_await peer_->Serve(*call));
          ++relayed_calls_;
          if (garbling_) {
            answer.body = "garbled";
          }
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
  memory_store* own_store_ = nullptr;
  memory_store* peer_store_ = nullptr;
  std::atomic<bool> garbling_{false};
  std::atomic<int> relayed_calls_{0};
  std::unique_ptr<http_server> server_;
};

// A host that the store refuses could not work although the store still serves
// its peers; its calls go through a peer.
TEST_F(relay_fixture, CallsAreRelayedWhileTheStoreRefusesThisHost) {
  own_store_->faults = [](std::string_view, const std::string&) {
    return memory_store::fault::refused;
  };
  const auto created = RunHere(store_->Create("kind", "name", "value"));
  ASSERT_TRUE(created) << created.error().message();
  EXPECT_TRUE(peer_store_->records.contains({"kind", "name"}));
  const auto record = RunHere(store_->Get("kind", "name"));
  ASSERT_TRUE(record && *record);
  EXPECT_EQ((*record)->value, "value");
  EXPECT_EQ(RunHere(store_->Create("kind", "name", "other")).error().kind(),
            error_kind::conflict);
}

// A write is done twice when it took effect, its response was lost, and it is
// repeated through a peer.
TEST_F(relay_fixture, WriteThatMayHaveTakenEffectIsNotRelayed) {
  own_store_->faults = [](std::string_view, const std::string&) {
    return memory_store::fault::lost_after;
  };
  const auto created = RunHere(store_->Create("kind", "name", "value"));
  ASSERT_FALSE(created);
  EXPECT_EQ(created.error().ran(), outcome::may_have_run);
  EXPECT_TRUE(peer_store_->records.empty());
}

// A write whose relay answered with bytes that cannot be parsed was repeated
// through the next peer and then reported as not done.
TEST_F(relay_fixture, Rule09_GarbledReplyToARelayedWriteLeavesItsOutcomeOpen) {
  own_store_->faults = [](std::string_view, const std::string&) {
    return memory_store::fault::refused;
  };
  store_->SetPeers({server_->address(), server_->address()});
  garbling_ = true;
  const auto created = RunHere(store_->Create("kind", "name", "value"));
  ASSERT_FALSE(created);
  EXPECT_EQ(created.error().ran(), outcome::may_have_run);
  EXPECT_EQ(relayed_calls_, 1);
}

TEST_F(relay_fixture, StoreThatRefusesAllHostsIsReportedAsUnavailable) {
  for (memory_store* store : {own_store_, peer_store_}) {
    store->faults = [](std::string_view, const std::string&) {
      return memory_store::fault::refused;
    };
  }
  const auto created = RunHere(store_->Create("kind", "name", "value"));
  ASSERT_FALSE(created);
  EXPECT_EQ(created.error().kind(), error_kind::store_unavailable);
  EXPECT_EQ(created.error().ran(), outcome::not_run);
}

// A watch whose events were lost in the store shows no change until the history
// of its revision is gone. The follower must then list the kind again.
TEST(ObjectFollower, ListsAgainWhenTheHistoryIsLost) {
  const host_clock clock;
  memory_store store;
  store.Put("config", "main", "1");
  boost::asio::io_context context;
  std::string last_value;
  int snapshots = 0;
  follower_events events;
  events.on_snapshot = [&](const store_snapshot& snapshot) {
    ++snapshots;
    last_value = snapshot.records.empty() ? "" : snapshot.records[0].value;
    if (snapshots == 1) {
      store.silent_watches = true;
      store.Put("config", "main", "2");
    } else {
      context.stop();
    }
  };
  events.on_changes = [](const store_changes&) {};
  events.on_contact = [](bool) {};
  object_follower follower(store, clock, "config", events);
  follower.SetWatch(milliseconds(5), read_freshness::linearizable);
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
  EXPECT_EQ(last_value, "2");
}

// A host that takes over the close watch from lost ones sees changes at once.
TEST(ObjectFollower, Rule11_TighterWatchReplacesTheRunningOne) {
  const host_clock clock;
  memory_store store;
  store.max_watch_time = milliseconds(60'000);
  store.hides_from_stale_watches = true;
  store.Put("servers", "s1", "ready");
  boost::asio::io_context context;
  std::string last_value;
  int failures = 0;
  follower_events events;
  events.on_snapshot = [](const store_snapshot&) {};
  events.on_changes = [&](const store_changes& answer) {
    if (!answer.changes.empty()) {
      last_value = answer.changes.back().record.value;
      context.stop();
    }
  };
  events.on_contact = [&](bool in_contact) { failures += in_contact ? 0 : 1; };
  object_follower follower(store, clock, "servers", events);
  follower.SetWatch(milliseconds(8000), read_freshness::may_be_stale);
  boost::asio::co_spawn(context, follower.Run(), kEndOnException);
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        co_await SleepFor(milliseconds(20));
        store.Put("servers", "s1", "draining");
        // The same or a laxer watch leaves the running one.
        const int calls = store.calls;
        follower.SetWatch(milliseconds(8000), read_freshness::may_be_stale);
        follower.SetWatch(milliseconds(9000), read_freshness::may_be_stale);
        co_await SleepFor(milliseconds(20));
        EXPECT_EQ(store.calls, calls);
        follower.SetWatch(milliseconds(900), read_freshness::linearizable);
      },
      kEndOnException);
  context.run_for(std::chrono::seconds(5));
  EXPECT_EQ(last_value, "draining");
  EXPECT_EQ(failures, 0);
}

}  // namespace
}  // namespace cardamomyard
