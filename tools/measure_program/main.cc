#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <utility>
#include <vector>

#include "customer_run.h"
#include "fault_run.h"
#include "gateway_run.h"
#include "idle_run.h"
#include "report.h"

namespace {

using namespace cardamomyard;
using namespace cardamomyard::measure;

/// \brief A customer's fleets under both policies, and what they reached.
struct comparison {
  customer_figures figures;
  std::unique_ptr<customer_run> naive;
  std::unique_ptr<customer_run> adaptive;
};

result<void> StartFleets(comparison& one,
                         const run_size& size,
                         std::uint64_t seed) {
  const auto start = [&](const char* policy) {
    return customer_run::Start(one.figures.who, size, policy, seed);
  };
  for (auto [policy, run] :
       {std::pair{"adaptive", &one.adaptive}, std::pair{"naive", &one.naive}}) {
    auto started = start(policy);
    if (!started) {
      return Fail(started.error());
    }
    *run = std::move(*started);
    (*run)->BeginIdle();
  }
  return {};
}

/// Measures customers whose fleets run at the same time, one after the other.
/// The naive fleets need no share table and go first, while the others wait
/// for their first tokens.
result<void> MeasureTogether(std::vector<comparison>& group,
                             const run_size& size,
                             std::uint64_t seed,
                             bool faults) {
  for (comparison& one : group) {
    if (result<void> started = StartFleets(one, size, seed); !started) {
      return started;
    }
  }
  for (comparison& one : group) {
    one.naive->WaitToFill();
    one.naive->EndIdle(one.figures.naive);
    one.naive->Measure(size.naive_phase_seconds, false, one.figures.naive);
    one.naive.reset();
  }
  for (comparison& one : group) {
    one.adaptive->WaitForTokens();
    one.adaptive->EndIdle(one.figures.adaptive);
    one.adaptive->Measure(size.phase_seconds, true, one.figures.adaptive);
    SetShare(one.adaptive->batch_alone(), one.figures.adaptive);
    SetShare(one.adaptive->batch_alone(), one.figures.naive);
    one.adaptive.reset();
    if (faults) {
      auto run = customer_run::Start(one.figures.who, size, "adaptive", seed);
      if (!run) {
        return Fail(run.error());
      }
      (*run)->WaitForTokens();
      one.figures.faults = RunWithFaults(**run, one.figures.who);
    }
    std::cout << FormatTable(one.figures) << std::endl;
  }
  return {};
}

int Run(const cxxopts::ParseResult& parsed) {
  const run_size size = parsed.count("quick") > 0 ? QuickSize() : FullSize();
  const auto chosen = parsed["customer"].as<std::string>();
  const auto seed = parsed["seed"].as<std::uint64_t>();
  std::vector<customer> customers = AllCustomers();
  std::erase_if(customers, [&chosen](const customer& each) {
    return !chosen.empty() && each.name != chosen;
  });
  if (customers.empty()) {
    std::cerr << "measure: no customer is named \"" << chosen << "\"\n";
    return 2;
  }
  if (parsed.count("gateway") > 0) {
    const auto line = RunGateway();
    if (!line) {
      std::cerr << "measure: " << line.error().message() << "\n";
      return 1;
    }
    std::cout << *line << std::endl;
    return 0;
  }
  if (parsed.count("idle") > 0) {
    idle_size idle;
    idle.accounts = parsed["accounts"].as<int>();
    idle.entry_hosts = parsed["entry-hosts"].as<int>();
    idle.engines = parsed["engines"].as<int>();
    const auto line = RunIdle(customers.front(), idle);
    if (!line) {
      std::cerr << "measure: " << line.error().message() << "\n";
      return 1;
    }
    std::cout << *line << std::endl;
    return 0;
  }
  // A quick run starts all fleets at once, so that the wait for the first
  // tokens is paid once; idle fleets use little of the processor.
  std::vector<customer_figures> all;
  const std::size_t together = size.quick ? customers.size() : 1;
  for (std::size_t i = 0; i < customers.size(); i += together) {
    std::vector<comparison> group(together);
    for (std::size_t j = 0; j < together; ++j) {
      group[j].figures.who = customers[i + j];
    }
    const auto measured =
        MeasureTogether(group, size, seed, parsed.count("faults") > 0);
    if (!measured) {
      std::cerr << "measure: " << measured.error().message() << "\n";
      return 1;
    }
    for (comparison& one : group) {
      all.push_back(std::move(one.figures));
    }
  }
  std::cout << FormatJson(all) << std::endl;
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options flags("measure", "Measures the system with both customers");
  flags.add_options()("quick", "Small fleets and short phases, within 50 s")(
      "customer", "varnenski_hamaci or co_operative; both without it",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "Seed of arrivals and prompts",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "faults", "Also run with a killed and a frozen process and no store")(
      "idle", "Only measure a fleet without load, for docs/CAPACITY.md")(
      "gateway", "Only measure a gateway of the users' platform")(
      "accounts", "Client accounts with --idle",
      cxxopts::value<int>()->default_value("8"))(
      "entry-hosts", "Entry hosts with --idle",
      cxxopts::value<int>()->default_value("3"))(
      "engines", "Engines with --idle",
      cxxopts::value<int>()->default_value("3"))("help", "Print usage");
  try {
    const auto parsed = flags.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << flags.help();
      return 0;
    }
    return Run(parsed);
  } catch (const std::exception& failure) {
    std::cerr << "measure: " << failure.what() << "\n";
    return 2;
  }
}
