// Batch jobs on a batch route that the operator has just added.

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

constexpr const char* kNewPrefix = "/mozi418/";
constexpr int kItems = 10;
constexpr int kTokens = 940;
constexpr int kServers = 12;
constexpr int kGateways = 5;
// Pauses after the acknowledgement of the configuration and between two rounds
// of batch jobs, one to each gateway.
constexpr milliseconds kAfterChange{15};
constexpr milliseconds kBetweenRounds{60};
constexpr int kRounds = 3;
constexpr seconds kStart{20};
// By then the hosts hear each other, and their first watches have ended.
constexpr seconds kSettled{12};
// Clients read about twice per second.
constexpr milliseconds kReadPause{500};
constexpr seconds kFinish{18};
// Reads with `stale-ok` may be seconds old.
constexpr milliseconds kStaleness{2000};

int Run(const std::string& record_path) {
  record log(record_path);
  const std::string subnet = fleet::PickSubnet();
  platform store(subnet + "2");
  store.SetStaleness(kStaleness);
  const std::vector<std::string> zones{"varna-a", "devnya-b", "burgas-c"};
  std::vector<std::unique_ptr<engine>> engines;
  for (int number = 0; number < kServers; ++number) {
    engine_options options;
    options.id = "i-7f3a91c" + std::to_string(number);
    options.service = "huvo11a";
    options.zone = zones[static_cast<std::size_t>(number) % zones.size()];
    options.ip = subnet + "3";
    options.text = [](int event) { return "event " + std::to_string(event); };
    engines.push_back(std::make_unique<engine>(options, log));
    store.Put("servers", options.id, engines.back()->Entry());
  }
  const route_options stream{
      "r-stream", "/pufi791/", "streaming", "huvo11a", 1, 0, 0};
  const route_options lots{"r-lots", "/pule252/", "batch", "huvo11a"};
  const route_options added{"r-new-lots", kNewPrefix, "batch", "huvo11a"};
  const auto changed = Configuration(12, {stream, lots, added});
  store.Put("config", "main",
            HasTrouble() ? Configuration(7, {stream, lots}) : changed);

  fleet system(log, store, subnet);
  std::vector<const node*> gateways;
  for (int number = 0; number < kGateways; ++number) {
    const std::string& zone =
        zones[static_cast<std::size_t>(number) % zones.size()];
    gateways.push_back(&system.Start(
        "gateway", "edge-" + zone + "-" + std::to_string(number / 3 + 1),
        zone));
  }
  for (const std::string& zone : zones) {
    system.Start("worker", "storage-" + zone + "-1", zone);
  }
  for (const node* gateway : gateways) {
    if (!system.WaitReady(*gateway, kStart)) {
      log.Line(gateway->name + " does not become ready");
      return 2;
    }
  }
  std::this_thread::sleep_for(kSettled);
  if (HasTrouble()) {
    store.Put("config", "main", changed);
    log.Line("acknowledged: version 12 adds the batch route r-new-lots");
  }
  std::this_thread::sleep_for(kAfterChange);

  std::map<std::string, const node*> accepted;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t number = 0; number < gateways.size(); ++number) {
      const std::string job =
          "7c41e09b52d6a3" + std::to_string(round) + std::to_string(number);
      const int status = Submit(log, gateways[number]->front, kNewPrefix, job,
                                kItems, kTokens);
      if (status == 202) {
        accepted[job] = gateways[number];
      }
    }
    std::this_thread::sleep_for(kBetweenRounds);
  }
  if (accepted.empty()) {
    log.Line("no batch job was accepted");
    return 2;
  }

  int wrong = 0;
  int missing = 0;
  for (const auto& [job, gateway] : accepted) {
    std::vector<listed_item> results;
    const bool all = Eventually(
        [&, &name = job, &reader = gateway] {
          const bool whole = ReadResults(log, reader->front, name, results) &&
                             results.size() == kItems;
          if (!whole) {
            std::this_thread::sleep_for(kReadPause);
          }
          return whole;
        },
        kFinish);
    missing += all ? 0 : 1;
    for (const listed_item& item : results) {
      int runs = 0;
      for (const auto& server : engines) {
        runs += server->Runs(item.id);
      }
      if (item.state != "completed") {
        ++wrong;
        log.Line("listed: " + item.id + " " + item.state +
                 ", runs at servers: " + std::to_string(runs));
      } else if (item.text != engines.front()->WholeText(item.id)) {
        ++wrong;
        log.Line("listed: " + item.id + " with another text");
      }
    }
  }
  log.Line(std::to_string(accepted.size()) + " batch jobs accepted, " +
           std::to_string(missing) + " not listed whole, " +
           std::to_string(wrong) + " items listed wrongly");
  if (wrong > 0) {
    log.Line(
        "MIXED: dead_letter, though the route and the batch job are open, no "
        "server has answered 500 or 422, and retention-s has not passed");
    return 1;
  }
  return missing > 0 ? 2 : 0;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  if (count != 2) {
    std::fprintf(stderr, "usage: case3 RECORD\n");
    return 2;
  }
  return review::Run(words[1]);
}
