// A seeded search for idle servers beside waiting items.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{50};  // Between two passes of a worker.
constexpr milliseconds kMaxIdle{2000};
constexpr int kTicks = 160;
constexpr int kServices = 3;
constexpr int kDecisions = 1'000'000;

/// Random workers, servers and loads. Each worker holds items of each service
/// and knows the loads of the others from the tick before.
class random_fleet {
 public:
  explicit random_fleet(std::uint64_t seed) : random_(seed) {
    const int workers = Between(1, 6);
    for (int number = 0; number < workers; ++number) {
      names_.push_back("w" + std::to_string(number));
      placements_.emplace_back(names_.back());
      std::array<int, kServices> waiting{};
      for (int& count : waiting) {
        count = Between(0, 2) == 0 ? 0 : Between(1, 12);
      }
      waiting_.push_back(waiting);
    }
    const int servers = Between(1, 6);
    for (int number = 0; number < servers; ++number) {
      server made;
      made.id = "s" + std::to_string(number);
      made.service = Between(0, kServices - 1);
      made.slots = Between(1, 8);
      made.mostly_full = Between(0, 4) == 0;
      servers_.push_back(std::move(made));
    }
    for (int& reserve : reserves_) {
      reserve = Between(0, 1) * batch_placement::kReservedSlots;
    }
  }

  /// \returns what went wrong, or nothing.
  std::string Run() {
    for (int tick = 0; tick < kTicks; ++tick) {
      for (server& each : servers_) {
        Advance(each);
      }
      const std::vector<server> before = servers_;
      for (std::size_t worker = 0; worker < names_.size(); ++worker) {
        Schedule(worker, before);
      }
      for (server& each : servers_) {
        if (std::string problem = CheckIdle(each); !problem.empty()) {
          return problem;
        }
      }
      clock_.Advance(kTick);
    }
    return "";
  }

  int decisions() const { return decisions_; }

 private:
  struct item {
    std::size_t worker = 0;
    int ticks_left = 0;
  };
  struct server {
    std::string id;
    int service = 0;
    int slots = 1;
    bool mostly_full = false;
    bool gone = false;
    int online = 0;
    std::vector<item> items;
    milliseconds idle{0};
  };

  int Between(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }

  void Advance(server& each) {
    std::erase_if(each.items, [](item& run) { return --run.ticks_left <= 0; });
    if (Between(0, 30) == 0) {
      each.online = each.mostly_full ? each.slots
                                     : Between(0, 1) * Between(0, each.slots);
    }
    if (Between(0, 100) == 0) {
      each.gone = !each.gone;
      for (const item& run : each.items) {
        ++waiting_[run.worker][static_cast<std::size_t>(each.service)];
      }
      each.items.clear();
    }
  }

  static backend_status StatusOf(const server& own_view,
                                 const server& others_view,
                                 std::size_t worker,
                                 const std::vector<std::string>& names) {
    backend_status status;
    status.entry.id = own_view.id;
    status.entry.slots = own_view.slots;
    status.online = own_view.online;
    std::map<std::size_t, int> others;
    for (const item& run : own_view.items) {
      status.own_batch += run.worker == worker ? 1 : 0;
    }
    for (const item& run : others_view.items) {
      if (run.worker != worker) {
        ++others[run.worker];
      }
    }
    status.batch = status.own_batch;
    for (const auto& [other, count] : others) {
      status.batch += count;
      status.peer_batch.emplace_back(names[other], count);
    }
    return status;
  }

  std::vector<backend_status> View(std::size_t worker,
                                   int service,
                                   const std::vector<server>& before) const {
    std::vector<backend_status> view;
    for (std::size_t number = 0; number < servers_.size(); ++number) {
      if (servers_[number].service == service && !servers_[number].gone) {
        view.push_back(
            StatusOf(servers_[number], before[number], worker, names_));
      }
    }
    return view;
  }

  void Schedule(std::size_t worker, const std::vector<server>& before) {
    batch_placement& placement = placements_[worker];
    for (int service = 0; service < kServices; ++service) {
      const auto view = View(worker, service, before);
      placement.Observe(view, clock_.Now());
      for (const backend_status& status : view) {
        Stop(worker, status.entry.id, placement.ItemsToPreempt(status));
      }
      int& waiting = waiting_[worker][static_cast<std::size_t>(service)];
      while (waiting > 0) {
        ++decisions_;
        const auto chosen = placement.Choose(
            View(worker, service, before), names_,
            reserves_[static_cast<std::size_t>(service)], clock_.Now());
        if (!chosen) {
          break;
        }
        --waiting;
        placement.RecordStart(chosen->entry.id, clock_.Now());
        Find(chosen->entry.id).items.push_back({worker, Between(1, 60)});
      }
    }
  }

  void Stop(std::size_t worker, const std::string& id, int count) {
    server& each = Find(id);
    for (; count > 0; --count) {
      const auto own = std::find_if(
          each.items.begin(), each.items.end(),
          [worker](const item& run) { return run.worker == worker; });
      if (own == each.items.end()) {
        return;
      }
      each.items.erase(own);
      ++waiting_[worker][static_cast<std::size_t>(each.service)];
    }
  }

  server& Find(const std::string& id) {
    return *std::find_if(servers_.begin(), servers_.end(),
                         [&id](const server& each) { return each.id == id; });
  }

  std::string CheckIdle(server& each) const {
    const bool is_wanted = std::any_of(
        waiting_.begin(), waiting_.end(), [&each](const auto& waiting) {
          return waiting[static_cast<std::size_t>(each.service)] > 0;
        });
    if (each.gone || each.online > 0 || !each.items.empty() || !is_wanted) {
      each.idle = milliseconds(0);
      return "";
    }
    each.idle += kTick;
    if (each.idle < kMaxIdle) {
      return "";
    }
    return each.id + " with " + std::to_string(each.slots) + " slots, " +
           std::to_string(names_.size()) + " workers, " +
           std::to_string(servers_.size()) + " servers, reserve " +
           std::to_string(reserves_[static_cast<std::size_t>(each.service)]);
  }

  std::mt19937_64 random_;
  manual_clock clock_;
  std::vector<std::string> names_;
  std::vector<batch_placement> placements_;
  std::vector<std::array<int, kServices>> waiting_;
  std::vector<server> servers_;
  std::array<int, kServices> reserves_{};
  int decisions_ = 0;
};

TEST(BatchPlacement, Rule01_NoServerIsIdleBesideWaitingItems) {
  int decisions = 0;
  std::map<std::string, std::uint64_t> problems;
  for (std::uint64_t seed = 1; decisions < kDecisions; ++seed) {
    random_fleet fleet(seed);
    if (std::string problem = fleet.Run(); !problem.empty()) {
      problems.try_emplace(std::move(problem), seed);
    }
    decisions += fleet.decisions();
    if (problems.size() > 10) {
      break;
    }
  }
  for (const auto& [problem, seed] : problems) {
    ADD_FAILURE() << "seed " << seed << ": " << problem;
  }
}

// A reserve as large as the server took its only slot from batch work.
TEST(BatchPlacement, Rule01_ServersOfOneSlotGetItemsOfEachWorker) {
  manual_clock clock;
  backend_status server;
  server.entry.id = "s";
  server.entry.slots = 1;
  for (const std::string name : {"w0", "w1", "w2"}) {
    batch_placement placement(name);
    placement.Observe({server}, clock.Now());
    clock.Advance(milliseconds(400));
    placement.Observe({server}, clock.Now());
    EXPECT_TRUE(placement.Choose({server}, {"w0", "w1", "w2"},
                                 batch_placement::kReservedSlots, clock.Now()))
        << name;
  }
}

}  // namespace
}  // namespace cardamomyard
