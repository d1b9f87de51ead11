#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"

namespace cardamomyard {
namespace {

constexpr time_point kNow{std::chrono::hours(1)};

usable_backend Server(const std::string& id) {
  usable_backend backend;
  backend.entry.id = id;
  backend.entry.service = "lm";
  backend.entry.slots = 8;
  return backend;
}

std::string ServerName(std::uint64_t number) {
  return "s" + std::to_string(number);
}

/// \brief Loads by server, counted anew each time.
class counted_loads {
 public:
  void Set(const std::string& host, const std::vector<backend_load>& loads) {
    by_host_[host] = loads;
  }
  void Remove(const std::string& host) { by_host_.erase(host); }
  std::pair<int, int> Of(const std::string& server) const {
    std::pair<int, int> sum;
    for (const auto& [host, loads] : by_host_) {
      for (const backend_load& load : loads) {
        if (load.backend == server) {
          sum.first += load.online;
          sum.second += load.batch;
        }
      }
    }
    return sum;
  }

 private:
  std::map<std::string, std::vector<backend_load>> by_host_;
};

// Loads are summed as digests arrive. A server that comes, goes or returns, or
// a silent peer, must leave no load behind and lose none.
TEST(backend_pool, SumsEqualACountOfAllDigests) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    backend_pool pool;
    counted_loads counted;
    std::map<std::string, backend_load> own;
    for (int step = 0; step < 200; ++step) {
      const std::string host = "h" + std::to_string(random() % 6);
      const std::string server = ServerName(random() % 12);
      switch (random() % 5) {
        case 0: {
          std::vector<usable_backend> servers;
          for (int i = 0; i < 10; ++i) {
            if (random() % 4 != 0) {
              servers.push_back(Server(ServerName(i)));
            }
          }
          pool.SetBackends(servers);
          break;
        }
        case 1:
          pool.RemovePeer(host);
          counted.Remove(host);
          break;
        case 2:
          pool.RecordStart(server, work_class::online);
          ++own[server].online;
          break;
        case 3:
          if (own[server].online > 0) {
            --own[server].online;
          }
          pool.RecordEnd(server, work_class::online);
          break;
        default: {
          std::vector<backend_load> loads;
          for (int i = 11; i >= 0; --i) {
            if (random() % 2 == 0) {
              loads.push_back({ServerName(i), static_cast<int>(random() % 3),
                               static_cast<int>(random() % 3)});
            }
          }
          pool.SetPeerLoads(host, loads);
          counted.Set(host, loads);
        }
      }
      for (const backend_status& status : pool.Status("lm", kNow)) {
        const auto peers = counted.Of(status.entry.id);
        ASSERT_EQ(status.own_online, own[status.entry.id].online) << seed;
        ASSERT_EQ(status.online, status.own_online + peers.first) << seed;
        ASSERT_EQ(status.batch, peers.second) << seed;
        int by_peer = 0;
        for (const auto& [name, items] : status.peer_batch) {
          by_peer += items;
        }
        ASSERT_EQ(by_peer, status.batch) << seed;
      }
    }
  }
}

// A server in backoff is used again once its time is over or it answers.
TEST(backend_pool, BackoffEndsWithTimeOrSuccess) {
  backend_pool pool;
  pool.SetBackends({Server("a")});
  pool.RecordOverload("a", kNow);
  EXPECT_TRUE(pool.Status("lm", kNow).front().in_backoff);
  EXPECT_FALSE(
      pool.Status("lm", kNow + std::chrono::seconds(1)).front().in_backoff);
  EXPECT_TRUE(pool.Status("lm", kNow).front().in_backoff);
  pool.RecordSuccess("a");
  EXPECT_FALSE(pool.Status("lm", kNow).front().in_backoff);
}

// Hosts that know the same hosts must agree on the primary of a server, in
// whatever order they learned of them.
TEST(host_ranks, KeptRanksEqualThoseComputedAnew) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    host_ranks ranks;
    for (int step = 0; step < 40; ++step) {
      std::vector<std::string> hosts;
      for (int i = 0; i < 30; ++i) {
        if (random() % 3 != 0) {
          hosts.push_back("host-" + std::to_string(i));
        }
      }
      ranks.SetHosts(hosts);
      for (int i = 0; i < 20; ++i) {
        const auto top = RendezvousTop(hosts, ServerName(i), 2);
        ASSERT_EQ(ranks.Of(ServerName(i)).first, top[0]) << seed;
        ASSERT_EQ(ranks.Of(ServerName(i)).second, top[1]) << seed;
      }
    }
  }
}

// With more servers than a host compares, a request must still find the only
// one that is usable.
TEST(online_placement, FindsTheOnlyUsableServerOfMany) {
  backend_pool pool;
  std::vector<usable_backend> servers;
  std::set<std::string> excluded;
  for (int i = 0; i < 500; ++i) {
    servers.push_back(Server(ServerName(i)));
    if (i != 321) {
      excluded.insert(ServerName(i));
    }
  }
  pool.SetBackends(servers);
  online_placement placement("h0", "zone", 1);
  const auto chosen = placement.Choose(pool, "lm", excluded,
                                       std::chrono::milliseconds(200), kNow);
  ASSERT_TRUE(std::holds_alternative<chosen_backend>(chosen));
  EXPECT_EQ(std::get<chosen_backend>(chosen).server.entry.id, "s321");
}

}  // namespace
}  // namespace cardamomyard
