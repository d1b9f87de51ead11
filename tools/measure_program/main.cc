#include <cxxopts.hpp>
#include <iostream>
#include <memory>

#include "customer_run.h"
#include "fault_run.h"
#include "report.h"

namespace {

using namespace cardamomyard;
using namespace cardamomyard::measure;

/// Both fleets of one customer.
struct pair_of_runs {
  std::unique_ptr<customer_run> naive;
  std::unique_ptr<customer_run> adaptive;
};

result<customer_figures> MeasureOne(const customer& who,
                                    const run_size& size,
                                    pair_of_runs& runs,
                                    bool faults) {
  customer_figures figures;
  figures.who = who;
  runs.adaptive->WaitForTokens();
  policy_figures idle;
  runs.adaptive->EndIdle(idle);
  figures.adaptive = runs.adaptive->Measure(size.phase_seconds, 0);
  figures.adaptive.control_bytes_per_s = idle.control_bytes_per_s;
  figures.adaptive.control_cpu = idle.control_cpu;
  figures.adaptive.entry_mb = idle.entry_mb;
  figures.adaptive.sidecar_mb = idle.sidecar_mb;
  const double batch_alone = runs.adaptive->batch_alone();
  runs.adaptive.reset();
  policy_figures naive_idle;
  runs.naive->EndIdle(naive_idle);
  figures.naive = runs.naive->Measure(size.naive_phase_seconds, batch_alone);
  figures.naive.control_bytes_per_s = naive_idle.control_bytes_per_s;
  figures.naive.control_cpu = naive_idle.control_cpu;
  figures.naive.entry_mb = naive_idle.entry_mb;
  figures.naive.sidecar_mb = naive_idle.sidecar_mb;
  runs.naive.reset();
  if (faults) {
    auto run = customer_run::Start(who, size, "adaptive", 1);
    if (!run) {
      return Fail(run.error());
    }
    (*run)->WaitForTokens();
    figures.faults = RunWithFaults(**run, who);
  }
  return figures;
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
  // A quick run starts all fleets at once, so that the wait for the first
  // tokens is paid once; idle fleets use little of the processor.
  std::vector<pair_of_runs> runs(customers.size());
  std::vector<customer_figures> all;
  const auto start = [&](std::size_t i) -> result<void> {
    for (const char* policy : {"adaptive", "naive"}) {
      auto run = customer_run::Start(customers[i], size, policy, seed);
      if (!run) {
        return Fail(run.error());
      }
      (*run)->BeginIdle();
      (policy[0] == 'n' ? runs[i].naive : runs[i].adaptive) = std::move(*run);
    }
    return {};
  };
  for (std::size_t i = 0; i < customers.size(); ++i) {
    for (std::size_t j = i; j < (size.quick ? customers.size() : i + 1); ++j) {
      if (runs[j].adaptive == nullptr && runs[j].naive == nullptr &&
          j >= all.size()) {
        if (const auto started = start(j); !started) {
          std::cerr << "measure: " << started.error().message() << "\n";
          return 1;
        }
      }
    }
    auto figures =
        MeasureOne(customers[i], size, runs[i], parsed.count("faults") > 0);
    if (!figures) {
      std::cerr << "measure: " << figures.error().message() << "\n";
      return 1;
    }
    std::cout << FormatTable(*figures) << std::endl;
    all.push_back(std::move(*figures));
  }
  std::cout << FormatJson(all) << std::endl;
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options flags("measure", "Measures the system with both customers");
  flags.add_options()("quick", "Small fleets and short phases, under 50 s")(
      "customer", "varnenski_hamaci or co_operative; both without it",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "Seed of arrivals and prompts",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "faults", "Also run with a killed and a frozen process and no store")(
      "help", "Print usage");
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
