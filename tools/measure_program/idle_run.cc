#include "idle_run.h"

#include <boost/json.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "harness/fleet.h"
#include "process_usage.h"

namespace cardamomyard::measure {
namespace json = boost::json;
namespace {

// Processes learn the configuration and each other before the measurement.
constexpr std::chrono::seconds kSettle{6};
constexpr std::chrono::seconds kMeasured{10};
constexpr std::chrono::minutes kReady{2};
constexpr std::size_t kHashDigits = 64;

std::string FolderText(const customer& who, int accounts) {
  std::string text = "[model." + who.model +
                     "]\ncontext_tokens = 8192\nversions = [\"1\"]\n"
                     "adapters = []\nengine_checks_fencing = true\n";
  for (int i = 0; i < accounts; ++i) {
    const std::string name = "account-" + std::to_string(i);
    std::string hash = std::to_string(i);
    hash.insert(0, kHashDigits - hash.size(), '0');
    text.append("[account.").append(name);
    text.append(
        "]\nrate_per_second = 5.0\nburst = 10\nweight = 1.0\nmodels = []\n");
    text.append("[key.").append(name).append("]\naccount = \"").append(name);
    text.append("\"\nsha256 = \"").append(hash);
    text.append("\"\nwithdrawn = false\n");
  }
  return text;
}

struct observed {
  pid_t pid;
  host_address metrics;
  process_usage before{};
};

json::object Summary(harness::test_client& http,
                     const std::vector<observed>& processes) {
  const auto seconds = static_cast<double>(kMeasured.count());
  double cpu = 0;
  double bytes = 0;
  double memory = 0;
  for (const observed& each : processes) {
    const process_usage now = ReadUsage(http, each.pid, each.metrics);
    cpu += (now.cpu_seconds - each.before.cpu_seconds) / seconds;
    bytes += (now.control_bytes - each.before.control_bytes) / seconds;
    memory += now.resident_mb;
  }
  const auto count = static_cast<double>(processes.size());
  return {{"cpu", cpu / count},
          {"control_bytes_per_s", bytes / count},
          {"resident_mb", memory / count}};
}

json::object StoreCalls(harness::fleet& fleet) {
  const http_response answer = fleet.http().Call(
      fleet.store().address, harness::JsonRequest("GET", "/control/stats"));
  boost::system::error_code code;
  json::value parsed = json::parse(answer.body, code);
  return !code && parsed.is_object() ? parsed.as_object() : json::object();
}

}  // namespace

result<std::string> RunIdle(const customer& who, const idle_size& size) {
  harness::backend_group engines;
  engines.deployment = who.model;
  engines.count = size.engines;
  harness::fleet_options options;
  options.entry_hosts = size.entry_hosts;
  options.groups = {engines};
  options.configuration = "none";
  options.zones = who.zones;
  auto started = harness::fleet::Start(std::move(options));
  if (!started) {
    return Fail(started.error());
  }
  harness::fleet& fleet = **started;
  const auto folder =
      ParseFolder({{"idle.toml", FolderText(who, size.accounts)}});
  if (!folder) {
    return Fail(error_kind::invalid_request, folder.error().front().ToString());
  }
  const auto written = fleet.Change(
      [&](const configuration& now) { return ApplyFolder(now, *folder); },
      "accounts of an idle fleet");
  if (!written) {
    return Fail(written.error());
  }
  if (!fleet.WaitUntilReady(kReady)) {
    return Fail(error_kind::timeout, "the fleet did not become ready");
  }
  std::this_thread::sleep_for(kSettle);
  std::vector<observed> entries;
  std::vector<observed> sidecars;
  for (int i = 0; i < size.entry_hosts; ++i) {
    const auto& entry = fleet.entry(static_cast<std::size_t>(i));
    entries.push_back({entry.process->pid(), entry.address});
  }
  for (int i = 0; i < size.engines; ++i) {
    const auto& sidecar = fleet.sidecar(who.model, static_cast<std::size_t>(i));
    sidecars.push_back({sidecar.process->pid(), sidecar.internal});
  }
  for (auto* group : {&entries, &sidecars}) {
    for (observed& each : *group) {
      each.before = ReadUsage(fleet.http(), each.pid, each.metrics);
    }
  }
  const json::object calls_before = StoreCalls(fleet);
  std::this_thread::sleep_for(kMeasured);
  json::object report{{"accounts", size.accounts},
                      {"entry_hosts", size.entry_hosts},
                      {"engines", size.engines},
                      {"measured_seconds", kMeasured.count()},
                      {"entry", Summary(fleet.http(), entries)},
                      {"sidecar", Summary(fleet.http(), sidecars)},
                      {"store_before", calls_before},
                      {"store_after", StoreCalls(fleet)}};
  return json::serialize(report);
}

}  // namespace cardamomyard::measure
