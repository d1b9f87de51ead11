#include "customer.h"

#include <algorithm>
#include <utility>

namespace cardamomyard::measure {
namespace {

constexpr int kAccounts = 8;
constexpr int kLargeAccounts = 2;
// With 24 tokens a request the online load uses about a quarter of the tokens
// that 48 sequences generate.
constexpr double kLargeRatePerEngine = 7;
constexpr double kSmallRatePerEngine = 1.2;
constexpr std::size_t kOnlineTokens = 24;
constexpr std::size_t kPromptTokens = 128;
// Callers keep this far below their rate, so refusals of them are wrongful.
constexpr double kDemandOfRate = 0.8;
constexpr double kBurstSeconds = 2;

std::string AccountName(int index) {
  return (index < kLargeAccounts ? "large-" : "small-") + std::to_string(index);
}

int Engines(const customer& who, const run_size& size) {
  return size.quick ? 3 : who.engines;
}

}  // namespace

std::vector<customer> AllCustomers() {
  return {{"varnenski_hamaci",
           {"varna-a", "devnya-b", "burgas-c"},
           "hamac-lm",
           "ledger-app",
           12,
           3,
           0.9,
           {1.25, 0.90}},
          {"co_operative",
           {"lautoka", "nadi", "suva", "nausori"},
           "carver-model",
           "stall-app",
           12,
           4,
           0.27,
           {1.10, 0.75}}};
}

run_size FullSize() {
  return {};
}

run_size QuickSize() {
  return {true, 3, 3, 2};
}

std::string ConfigurationOf(const customer& who,
                            const run_size& size,
                            double batch_weight) {
  std::string text =
      "[balance]\nbatch_weight = " + std::to_string(batch_weight) +
      "\n[model." + who.model +
      "]\ncontext_tokens = 8192\nversions = [\"1\"]\nadapters = []\n"
      "engine_checks_fencing = true\n[service." +
      who.service + "]\ntimeout_ms = 30000\n[route." + who.service +
      "]\npath_prefix = \"/" + who.service + "\"\nservice = \"" + who.service +
      "\"\nrepeatable = false\nopen = false\n";
  for (const auto& [name, limits] : AccountsOf(who, size)) {
    text += "[account." + name +
            "]\nrate_per_second = " + std::to_string(limits.rate_per_second) +
            "\nburst = " + std::to_string(static_cast<int>(limits.burst)) +
            "\nweight = 1.0\nmodels = []\n";
  }
  return text;
}

harness::fleet_options FleetOf(const customer& who,
                               const run_size& size,
                               const std::string& policy) {
  const std::vector<std::string> policy_flags{"--policy", policy, "--log-level",
                                              "warning"};
  harness::backend_group engines;
  engines.deployment = who.model;
  engines.count = Engines(who, size);
  engines.backend_flags = {
      "--step-ms",   "10", "--step-per-seq-ms",      "0.2",
      "--max-batch", "48", "--prefill-ms-per-token", "0.05"};
  engines.sidecar_flags = policy_flags;
  harness::backend_group services;
  services.deployment = who.service;
  services.service = true;
  services.count = size.quick ? 1 : who.services;
  services.backend_flags = {"--delay-ms", "20"};
  services.sidecar_flags = policy_flags;
  harness::fleet_options options;
  options.entry_hosts = size.entry_hosts;
  options.groups = {engines, services};
  options.configuration = ConfigurationOf(who, size, who.batch_weight);
  options.zones = who.zones;
  options.entry_flags = policy_flags;
  return options;
}

std::map<std::string, account_limits> AccountsOf(const customer& who,
                                                 const run_size& size) {
  std::map<std::string, account_limits> accounts;
  for (int i = 0; i < kAccounts; ++i) {
    const double rate =
        Engines(who, size) *
        (i < kLargeAccounts ? kLargeRatePerEngine : kSmallRatePerEngine);
    accounts[AccountName(i)] = {
        rate, static_cast<double>(static_cast<int>(rate * kBurstSeconds))};
  }
  return accounts;
}

loadgen::load_profile LoadOf(const customer& who,
                             const run_size& size,
                             const harness::fleet& fleet,
                             double seconds,
                             std::uint64_t seed) {
  loadgen::load_profile profile;
  profile.seconds = seconds;
  profile.seed = seed;
  for (const auto& [name, limits] : AccountsOf(who, size)) {
    loadgen::caller_profile caller;
    caller.name = name;
    caller.account = name;
    caller.key = fleet.key(name);
    caller.model = who.model;
    caller.rate = limits.rate_per_second * kDemandOfRate;
    caller.prompt_tokens = kPromptTokens;
    caller.max_tokens = kOnlineTokens;
    caller.shared_prefix = 0.5;
    // Bursts of all accounts stay inside the burst, but for the last one.
    const bool excessive = name == AccountName(kAccounts - 1);
    caller.burst_period_s = seconds / 2;
    caller.burst_length_s = seconds / 6;
    caller.burst_factor = excessive ? 5 : 1.2;
    profile.callers.push_back(caller);
  }
  loadgen::caller_profile service;
  service.name = "service";
  service.account = AccountName(0);
  service.key = fleet.key(service.account);
  service.path = "/" + who.service;
  service.rate = 2;
  service.stream = false;
  profile.callers.push_back(service);
  return profile;
}

}  // namespace cardamomyard::measure
