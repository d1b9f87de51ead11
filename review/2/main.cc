// Batch jobs of two services; the only server of one service is lost for good.

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../lib/engine.h"
#include "../lib/fleet.h"
#include "../lib/platform.h"
#include "../lib/record.h"

namespace review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kSmallService = "kabe22b";
constexpr const char* kLargeService = "huvo11a";
constexpr const char* kSmallPrefix = "/dile907/";
constexpr const char* kLargePrefix = "/pule252/";
constexpr int kServers = 12;
constexpr int kItems = 10;
constexpr int kTokens = 940;
constexpr int kSmallJobs = 9;
constexpr int kLargeJobs = 6;
// Overnight jobs: due in an hour, given up after two.
constexpr double kDueMs = 3600000;
constexpr double kRetentionS = 7200;
constexpr seconds kStart{20};
constexpr seconds kSettled{2};
// A server's entry is removed after three check-in intervals of silence.
constexpr milliseconds kEntryRemoved{3600};
constexpr seconds kFinish{18};
constexpr seconds kCalm{5};
constexpr milliseconds kReadPause{500};

std::unique_ptr<engine> MakeEngine(record& log,
                                   const std::string& id,
                                   const std::string& service,
                                   const std::string& zone,
                                   const std::string& ip) {
  engine_options options;
  options.id = id;
  options.service = service;
  options.zone = zone;
  options.ip = ip;
  options.text = [](int event) { return "event " + std::to_string(event); };
  return std::make_unique<engine>(options, log);
}

int Run(const std::string& record_path) {
  record log(record_path);
  const std::string subnet = fleet::PickSubnet();
  platform store(subnet + "2");
  const std::vector<std::string> zones{"varna-a", "devnya-b", "burgas-c"};
  std::vector<std::unique_ptr<engine>> large;
  for (int number = 0; number < kServers; ++number) {
    large.push_back(MakeEngine(
        log, "i-7f3a91c" + std::to_string(number), kLargeService,
        zones[static_cast<std::size_t>(number) % zones.size()], subnet + "3"));
    store.Put("servers", large.back()->options().id, large.back()->Entry());
  }
  const auto small =
      MakeEngine(log, "i-02d9e6b4", kSmallService, zones[0], subnet + "4");
  store.Put("servers", small->options().id, small->Entry());
  store.Put("config", "main",
            Configuration(7, {{"r-stream", "/pufi791/", "streaming",
                               kLargeService, 1, 0, 0},
                              {"r-lots", kLargePrefix, "batch", kLargeService,
                               3, kDueMs, kRetentionS},
                              {"r-small-lots", kSmallPrefix, "batch",
                               kSmallService, 3, kDueMs, kRetentionS}}));
  fleet system(log, store, subnet);
  const node& gateway = system.Start("gateway", "edge-varna-a-1", "varna-a");
  const node& other = system.Start("gateway", "edge-devnya-b-1", "devnya-b");
  for (const std::string& zone : zones) {
    system.Start("worker", "storage-" + zone + "-1", zone);
  }
  if (!system.WaitReady(gateway, kStart) || !system.WaitReady(other, kStart)) {
    log.Line("the gateways do not become ready");
    return 2;
  }
  std::this_thread::sleep_for(kSettled);
  if (HasTrouble()) {
    log.Line("the only server of " + std::string(kSmallService) +
             " crashes for good");
    small->Crash();
    std::this_thread::sleep_for(kEntryRemoved);
    store.Erase("servers", small->options().id);
    log.Line("its entry is removed after three check-in intervals");
    std::this_thread::sleep_for(kSettled);
  }

  for (int number = 0; number < kSmallJobs; ++number) {
    const std::string job = "5a11e09b52d6a3f" + std::to_string(number);
    if (Submit(log, gateway.front, kSmallPrefix, job, kItems, kTokens) != 202) {
      return 2;
    }
  }
  std::vector<std::string> jobs;
  for (int number = 0; number < kLargeJobs; ++number) {
    jobs.push_back("7c41e09b52d6a3f" + std::to_string(number));
    if (Submit(log, other.front, kLargePrefix, jobs.back(), kItems, kTokens) !=
        202) {
      return 2;
    }
  }
  log.Line("traffic has ended");

  const auto end = std::chrono::steady_clock::now() + kFinish;
  auto busy_until = std::chrono::steady_clock::now();
  std::map<std::string, std::vector<listed_item>> results;
  while (std::chrono::steady_clock::now() < end) {
    bool all = true;
    for (const auto& server : large) {
      if (server->Busy() > 0) {
        busy_until = std::chrono::steady_clock::now();
      }
    }
    for (const std::string& job : jobs) {
      all = ReadResults(log, other.front, job, results[job]) &&
            results[job].size() == kItems && all;
    }
    if (all) {
      log.Line(
          "held: all items of the service that has its servers are listed");
      return 0;
    }
    std::this_thread::sleep_for(kReadPause);
  }
  int unlisted = 0;
  int not_run = 0;
  for (const std::string& job : jobs) {
    for (int number = 0; number < kItems; ++number) {
      int runs = 0;
      for (const auto& server : large) {
        runs += server->Runs(ItemId(job, number));
      }
      not_run += runs == 0 ? 1 : 0;
    }
    unlisted += kItems - static_cast<int>(results[job].size());
  }
  log.Line(std::to_string(unlisted) + " of " +
           std::to_string(kLargeJobs * kItems) + " items of " + kLargeService +
           " are not listed, " + std::to_string(not_run) +
           " have reached no server");
  if (std::chrono::steady_clock::now() - busy_until < kCalm) {
    log.Line("its servers were busy in the last 5 s");
    return 2;
  }
  log.Line("LOST: its 12 servers have had no request for 5 s");
  return 1;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  if (count != 2) {
    std::fprintf(stderr, "usage: case2 RECORD\n");
    return 2;
  }
  return review::Run(words[1]);
}
