// A batch job whose items finish while the platform's store is down.

#include <cstdio>
#include <cstdlib>
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

constexpr const char* kJob = "7c41e09b52d6a3f8";
constexpr const char* kPrefix = "/pule252/";
constexpr int kItems = 200;
constexpr int kServers = 12;
// Items differ in length, as those of the installations do (a mean of 182
// events); their texts have 10 to 22 KB.
constexpr int kFewestEvents = 100;
constexpr int kSpread = 120;
constexpr int kStep = 37;
constexpr std::size_t kEventBytes = 100;
constexpr seconds kStart{20};
// The outage begins when the first items are about to finish.
constexpr milliseconds kBeforeOutage{2500};
constexpr milliseconds kOutage{4500};
// `finish-s`, counted from the end of the outage.
constexpr seconds kFinish{18};
constexpr seconds kCalm{5};

int EventsOf(const std::string& item) {
  const std::string number = item.substr(item.rfind('e') + 1);
  return kFewestEvents + std::atoi(number.c_str()) * kStep % kSpread;
}

int Run(const std::string& record_path) {
  record log(record_path);
  const std::string subnet = fleet::PickSubnet();
  platform store(subnet + "2");
  std::vector<std::unique_ptr<engine>> engines;
  for (int number = 0; number < kServers; ++number) {
    engine_options options;
    options.id = "i-7f3a91c" + std::to_string(number);
    options.service = "huvo11a";
    options.zone = number % 3 == 0   ? "varna-a"
                   : number % 3 == 1 ? "devnya-b"
                                     : "burgas-c";
    options.ip = subnet + "3";
    options.event_time = milliseconds(25);
    options.events = EventsOf;
    options.text = [](int event) {
      std::string text = "event " + std::to_string(event) + " ";
      text.resize(kEventBytes, 'a');
      return text;
    };
    engines.push_back(std::make_unique<engine>(options, log));
    store.Put("servers", options.id, engines.back()->Entry());
  }
  store.Put("config", "main",
            Configuration(
                7, {{"r-stream", "/pufi791/", "streaming", "huvo11a", 1, 0, 0},
                    {"r-lots", kPrefix, "batch", "huvo11a"}}));
  fleet system(log, store, subnet);
  const node& gateway = system.Start("gateway", "edge-varna-a-1", "varna-a");
  const node& other = system.Start("gateway", "edge-devnya-b-1", "devnya-b");
  system.Start("worker", "storage-varna-a-1", "varna-a");
  system.Start("worker", "storage-devnya-b-1", "devnya-b");
  system.Start("worker", "storage-burgas-c-1", "burgas-c");
  if (!system.WaitReady(gateway, kStart) || !system.WaitReady(other, kStart)) {
    log.Line("the gateways do not become ready");
    return 2;
  }
  // The processes hear each other.
  std::this_thread::sleep_for(seconds(2));

  if (Submit(log, gateway.front, kPrefix, kJob, kItems, 4540) != 202) {
    log.Line("the batch job is not accepted");
    return 2;
  }
  if (HasTrouble()) {
    std::this_thread::sleep_for(kBeforeOutage);
    log.Line("the store is down: it answers 503");
    store.SetDown(true);
    std::this_thread::sleep_for(kOutage);
    store.SetDown(false);
    log.Line("the store serves again");
  }

  std::vector<listed_item> results;
  const auto end = std::chrono::steady_clock::now() + kFinish;
  auto busy_until = std::chrono::steady_clock::now();
  bool all = false;
  while (!all) {
    const auto now = std::chrono::steady_clock::now();
    int busy = 0;
    for (const auto& server : engines) {
      busy += server->Busy();
    }
    if (busy > 0) {
      busy_until = now;
    }
    all = ReadResults(log, other.front, kJob, results) &&
          results.size() == kItems;
    if (now >= end && now - busy_until >= kCalm) {
      break;
    }
    if (now >= end + 3 * kFinish) {
      log.Line("the servers never become idle");
      return 2;
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
  int whole_runs = 0;
  for (int number = 0; number < kItems; ++number) {
    int runs = 0;
    for (const auto& server : engines) {
      runs += server->Runs(ItemId(kJob, number));
    }
    whole_runs += runs > 0 ? 1 : 0;
  }
  log.Line("servers ran " + std::to_string(whole_runs) + " of " +
           std::to_string(kItems) + " items; listed are " +
           std::to_string(results.size()));
  for (const listed_item& item : results) {
    if (item.state != "completed" ||
        item.text != engines.front()->WholeText(item.id)) {
      log.Line("another rule: " + item.id + " is " + item.state + " with " +
               std::to_string(item.text.size()) + " bytes of text");
      return 2;
    }
  }
  if (!all) {
    log.Line("LOST: items are not listed, servers have been idle for 5 s");
    return 1;
  }
  log.Line("held: all items are listed");
  return 0;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  if (count != 2) {
    std::fprintf(stderr, "usage: case1 RECORD\n");
    return 2;
  }
  return review::Run(words[1]);
}
