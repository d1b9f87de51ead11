#ifndef CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_CUSTOMER_RUN_H_
#define CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_CUSTOMER_RUN_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "customer.h"
#include "harness/fleet.h"
#include "process_usage.h"
#include "recorder.h"
#include "report.h"

namespace cardamomyard::measure {

/// \brief A customer's running fleet under one policy.
class customer_run {
 public:
  static result<std::unique_ptr<customer_run>> Start(const customer& who,
                                                     const run_size& size,
                                                     const std::string& policy,
                                                     std::uint64_t seed);

  harness::fleet& fleet() { return *fleet_; }
  std::size_t engines() const { return engines_; }
  std::vector<host_address> targets() const;

  /// Waits until every home of an account has tokens and a full bucket.
  void WaitForTokens() const;
  /// Remembers the usage of every process.
  void BeginIdle();
  /// Fills in what the processes used since BeginIdle.
  void EndIdle(policy_figures& figures);

  /// Waits until buckets that started full have their tokens back.
  void WaitToFill() const;

  /// \brief Measures online load alone, batch work alone if \p alone, and both
  /// together.
  void Measure(double seconds, bool alone, policy_figures& figures);
  /// Tokens/s of batch work alone.
  double batch_alone() const { return batch_alone_; }

  /// Sends the load of all accounts.
  std::vector<loadgen::caller_summary> Load(double seconds);
  /// Submits enough items for \p seconds. \returns the ids of the jobs; the
  /// custom ids are appended to \p accepted.
  std::vector<std::string> SubmitJobs(double seconds,
                                      std::vector<std::string>& accepted);
  /// Adds the admission figures of all accounts to \p figures.
  void AddAdmission(const std::vector<loadgen::caller_summary>& summaries,
                    policy_figures& figures);

 private:
  customer_run(const customer& who, const run_size& size, std::uint64_t seed)
      : who_(who), size_(size), seed_(seed) {}

  std::vector<process_usage> Usage();
  double EngineTokens();
  /// Changes `balance.batch_weight` in the running fleet.
  void SetBatchWeight(double weight);

  customer who_;
  run_size size_;
  std::uint64_t seed_;
  std::size_t engines_ = 0;
  std::unique_ptr<harness::fleet> fleet_;
  std::chrono::steady_clock::time_point started_;
  std::chrono::steady_clock::time_point idle_since_;
  std::vector<process_usage> idle_usage_;
  double batch_alone_ = 0;
  double inside_rate_ = 0;
  double wrongly_refused_ = 0;
};

/// \brief Sets the remainder and the share of batch work: what the engines
/// generate with batch work alone at weight 1, less the tokens of the online
/// requests.
void SetShare(double batch_alone, policy_figures& figures);

}  // namespace cardamomyard::measure

#endif  // CARDAMOMYARD_TOOLS_MEASURE_PROGRAM_CUSTOMER_RUN_H_
