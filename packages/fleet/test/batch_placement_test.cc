#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

backend_entry Server(const std::string& id, int slots) {
  backend_entry entry;
  entry.id = id;
  entry.service = "lm";
  entry.slots = slots;
  return entry;
}

/// \brief Workers with an endless supply of items beside bursts of online
/// requests. Each worker learns the loads of the others with the delay of a
/// digest.
class worker_simulation {
 public:
  static constexpr int kServers = 12;
  static constexpr int kSlots = 8;
  static constexpr milliseconds kTick{5};
  static constexpr milliseconds kDigestDelay{35};

  explicit worker_simulation(int workers) {
    for (int i = 0; i < workers; ++i) {
      names_.push_back("worker-" + std::to_string(i));
      placements_.emplace_back(names_.back());
      items_by_worker_.emplace_back();
    }
  }

  /// Runs \p steps ticks with \p online requests on each server.
  void Run(int steps, int online) {
    for (int step = 0; step < steps; ++step) {
      history_.push_front(items_by_worker_);
      if (static_cast<std::int64_t>(history_.size()) > kDigestDelay / kTick) {
        history_.pop_back();
      }
      for (std::size_t worker = 0; worker < names_.size(); ++worker) {
        Schedule(worker, online);
      }
      clock_.Advance(kTick);
      ++ticks_;
      for (int server = 0; server < kServers; ++server) {
        used_slots_ += std::min(kSlots, online + Items(server));
        queued_total_ += std::max(0, online + Items(server) - kSlots);
      }
    }
  }

  int starts() const { return starts_; }
  int stops() const { return stops_; }
  double utilisation() const {
    return static_cast<double>(used_slots_) / (ticks_ * kServers * kSlots);
  }
  /// Mean number of requests per server that wait for a slot.
  double queued() const {
    return static_cast<double>(queued_total_) / (ticks_ * kServers);
  }
  void ResetCounts() {
    starts_ = stops_ = ticks_ = 0, used_slots_ = queued_total_ = 0;
  }

 private:
  static std::string ServerId(int server) {
    return "s" + std::to_string(server);
  }

  int Items(int server) const {
    int items = 0;
    for (const auto& items_by_server : items_by_worker_) {
      const auto found = items_by_server.find(ServerId(server));
      items += found == items_by_server.end() ? 0 : found->second;
    }
    return items;
  }

  std::vector<backend_status> View(std::size_t worker, int online) const {
    std::vector<backend_status> servers;
    for (int server = 0; server < kServers; ++server) {
      backend_status status;
      status.entry = Server(ServerId(server), kSlots);
      status.online = online;
      for (std::size_t other = 0; other < names_.size(); ++other) {
        const auto& items_by_server =
            other == worker ? items_by_worker_[other] : history_.back()[other];
        const auto found = items_by_server.find(status.entry.id);
        const int items = found == items_by_server.end() ? 0 : found->second;
        status.batch += items;
        if (other == worker) {
          status.own_batch = items;
        } else if (items > 0) {
          status.peer_batch.emplace_back(names_[other], items);
        }
      }
      servers.push_back(std::move(status));
    }
    return servers;
  }

  void Schedule(std::size_t worker, int online) {
    batch_placement& placement = placements_[worker];
    auto servers = View(worker, online);
    placement.Observe(servers, clock_.Now());
    for (const backend_status& server : servers) {
      const int excess = placement.ItemsToPreempt(server);
      items_by_worker_[worker][server.entry.id] -= excess;
      stops_ += excess;
    }
    while (true) {
      const auto chosen =
          placement.Choose(View(worker, online), names_, 0, clock_.Now());
      if (!chosen) {
        return;
      }
      ++items_by_worker_[worker][chosen->entry.id];
      ++starts_;
      placement.RecordStart(chosen->entry.id, clock_.Now());
    }
  }

  manual_clock clock_;
  std::vector<std::string> names_;
  std::vector<batch_placement> placements_;
  std::vector<std::map<std::string, int>> items_by_worker_;
  std::deque<std::vector<std::map<std::string, int>>> history_;
  int starts_ = 0;
  int stops_ = 0;
  int ticks_ = 0;
  std::int64_t used_slots_ = 0;
  std::int64_t queued_total_ = 0;
};

// Items of a split route waited for a service without servers, although the
// route has another one; and a share of zero got items like the others.
TEST(ServicesInTurn, AllSharesButThoseOfZeroAreTried) {
  using names = std::vector<std::string>;
  const std::vector<service_share> shares{{"a", 1}, {"b", 0}, {"c", 0.1}};
  EXPECT_EQ(ServicesInTurn(shares, 0), (names{"a", "c"}));
  EXPECT_EQ(ServicesInTurn(shares, 1), (names{"c", "a"}));
  EXPECT_EQ(ServicesInTurn(shares, 2), (names{"a", "c"}));
  EXPECT_EQ(ServicesInTurn({{"a", 1}}, 7), names{"a"});
  EXPECT_EQ(ServicesInTurn({{"a", 0}, {"b", 0}}, 7), names{"a"});
}

// Two workers that take the same slot both stop their items and both try again:
// one day had 20,000 stops for 500 items.
TEST(BatchPlacement, WorkersDoNotPreemptEachOtherUnderSteadyLoad) {
  worker_simulation fleet(3);
  fleet.Run(100, 2);
  fleet.ResetCounts();
  fleet.Run(1000, 2);
  EXPECT_EQ(fleet.starts(), 0);
  EXPECT_EQ(fleet.stops(), 0);
  EXPECT_GE(fleet.utilisation(), 0.95);
}

// A placement that reacts too slowly leaves slots idle between bursts, and lets
// online requests queue behind batch items in them.
TEST(BatchPlacement, BurstsGetTheirSlotsAndIdleSlotsAreFilled) {
  worker_simulation fleet(3);
  fleet.Run(200, 1);
  fleet.ResetCounts();
  for (int burst = 0; burst < 5; ++burst) {
    fleet.Run(440, 6);  // 2.2 s of burst
    fleet.Run(600, 1);  // 3 s of pause
  }
  EXPECT_GE(fleet.utilisation(), 0.90);
  // A burst waits for one digest, 35 ms of 2.2 s, on at most four slots.
  EXPECT_LE(fleet.queued(), 0.2);
  // Each burst takes four to five slots of a server, each one once.
  EXPECT_LE(fleet.stops(), 5 * worker_simulation::kServers * 6);
}

TEST(BatchPlacement, WorkersAgreeOnItemsToPreempt) {
  backend_status server;
  server.entry = Server("s", 8);
  server.online = 5;
  server.batch = 6;
  server.own_batch = 4;
  server.peer_batch = {{"b", 2}};
  EXPECT_EQ(batch_placement("a").ItemsToPreempt(server), 3);
  server.own_batch = 2;
  server.peer_batch = {{"a", 4}};
  EXPECT_EQ(batch_placement("b").ItemsToPreempt(server), 0);
}

TEST(BatchPlacement, SkipsServersInBackoffOrUnregistered) {
  backend_status server;
  server.entry = Server("s", 8);
  const manual_clock clock;
  batch_placement placement("a");
  EXPECT_TRUE(placement.Choose({server}, {"a"}, 0, clock.Now()));
  server.in_backoff = true;
  EXPECT_FALSE(placement.Choose({server}, {"a"}, 0, clock.Now()));
  server.in_backoff = false;
  server.unregistered = true;
  EXPECT_FALSE(placement.Choose({server}, {"a"}, 0, clock.Now()));
}

}  // namespace
}  // namespace cardamomyard
