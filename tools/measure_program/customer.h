#ifndef CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_CUSTOMER_H_
#define CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_CUSTOMER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cardamomyard/limits.h"
#include "harness/fleet.h"
#include "load_profile.h"

namespace cardamomyard::measure {

/// \brief Bounds of section 1.3 of docs/design.md.
struct targets {
  double online_p99_ratio;
  double batch_share;
  double worst_account = 0.95;
  double wrongful_refusals = 0.001;
  double overrun = 1;
};

/// \brief One customer of section 1.1 of docs/design.md.
struct customer {
  std::string name;  ///< Key in the JSON line.
  std::vector<std::string> zones;
  std::string model;
  std::string service;
  int engines = 12;
  int services = 3;
  double batch_weight = 0.5;
  targets bounds;
};

std::vector<customer> AllCustomers();

/// \brief Length and size of a run.
struct run_size {
  bool quick = false;
  int entry_hosts = 4;
  double phase_seconds = 20;
  double naive_phase_seconds = 20;
};
run_size FullSize();
/// Both customers and the baseline within 50 s.
run_size QuickSize();

/// \returns the text of the configuration with this `balance.batch_weight`.
std::string ConfigurationOf(const customer& who,
                            const run_size& size,
                            double batch_weight);

/// \brief A customer's fleet, scaled to the size.
harness::fleet_options FleetOf(const customer& who,
                               const run_size& size,
                               const std::string& policy);

/// \brief Rates of the 8 client accounts on a fleet of this size.
std::map<std::string, account_limits> AccountsOf(const customer& who,
                                                 const run_size& size);

/// \brief Load of all accounts. The last one sends four times its rate in
/// bursts, the others stay inside.
loadgen::load_profile LoadOf(const customer& who,
                             const run_size& size,
                             const harness::fleet& fleet,
                             double seconds,
                             std::uint64_t seed);

}  // namespace cardamomyard::measure

#endif  // CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_CUSTOMER_H_
