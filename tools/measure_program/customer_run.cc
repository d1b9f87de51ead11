#include "customer_run.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <thread>

#include "admission_figures.h"
#include "demo/batch_run.h"
#include "harness/wait_until.h"
#include "load_run.h"

namespace cardamomyard::measure {
namespace {

using std::chrono::steady_clock;

constexpr int kItemTokens = 32;
constexpr std::size_t kItemsPerJob = 1000;
// More than an engine of 10 ms + 0.2 ms x 48 a step with 48 sequences does.
constexpr double kMostTokensPerEngine = 2600;
// After a first start most homes have no tokens for the contact window and a
// second, and then fill a bucket of two seconds.
constexpr std::chrono::seconds kTokensReady{9};
// Buckets fill up, a changed configuration is in force, and batch work reaches
// its usual speed.
constexpr std::chrono::milliseconds kSettle{1500};

double Seconds(steady_clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

std::string JobLines(const std::string& model,
                     const std::string& prefix,
                     std::vector<std::string>& accepted) {
  std::string lines;
  for (std::size_t i = 0; i < kItemsPerJob; ++i) {
    const std::string id = prefix + "-" + std::to_string(i);
    accepted.push_back(id);
    lines.append(R"({"custom_id":")").append(id);
    lines.append(R"(","method":"POST","url":"/v1/chat/completions",)");
    lines.append(R"("body":{"model":")").append(model);
    lines.append(R"(","messages":[{"role":"user","content":"describe lot )");
    lines.append(id).append(R"("}],"max_tokens":)");
    lines.append(std::to_string(kItemTokens)).append("}}\n");
  }
  return lines;
}

double P99(const std::vector<loadgen::caller_summary>& summaries) {
  std::vector<double> all;
  for (const auto& summary : summaries) {
    all.insert(all.end(), summary.first_token_ms.begin(),
               summary.first_token_ms.end());
  }
  std::sort(all.begin(), all.end());
  return loadgen::Percentile(all, 0.99);
}

/// \returns the callers that stay inside their rates and so wait for no token.
std::vector<loadgen::caller_summary> InsideRate(
    std::vector<loadgen::caller_summary> summaries) {
  // The excessive account and the calls to the service are the last two.
  summaries.resize(std::max<std::size_t>(summaries.size(), 2) - 2);
  return summaries;
}

double Tokens(const std::vector<loadgen::caller_summary>& summaries) {
  double tokens = 0;
  for (const auto& summary : summaries) {
    tokens += static_cast<double>(summary.tokens);
  }
  return tokens;
}

}  // namespace

result<std::unique_ptr<customer_run>> customer_run::Start(
    const customer& who,
    const run_size& size,
    const std::string& policy,
    std::uint64_t seed) {
  harness::fleet_options options = FleetOf(who, size, policy);
  std::unique_ptr<customer_run> run(new customer_run(who, size, seed));
  run->engines_ = static_cast<std::size_t>(options.groups.front().count);
  auto started = harness::fleet::Start(std::move(options));
  if (!started) {
    return Fail(started.error());
  }
  run->fleet_ = std::move(*started);
  run->started_ = steady_clock::now();
  return run;
}

std::vector<host_address> customer_run::targets() const {
  std::vector<host_address> addresses;
  for (std::size_t i = 0; i < fleet_->entry_count(); ++i) {
    addresses.push_back(fleet_->entry(i).address);
  }
  return addresses;
}

void customer_run::WaitForTokens() const {
  std::this_thread::sleep_until(started_ + kTokensReady);
}

std::vector<process_usage> customer_run::Usage() {
  std::vector<process_usage> usage;
  for (std::size_t i = 0; i < fleet_->entry_count(); ++i) {
    const harness::fleet_member& entry = fleet_->entry(i);
    usage.push_back(
        ReadUsage(fleet_->http(), entry.process->pid(), entry.address));
  }
  for (std::size_t i = 0; i < engines_; ++i) {
    const harness::fleet_member& sidecar = fleet_->sidecar(who_.model, i);
    usage.push_back(
        ReadUsage(fleet_->http(), sidecar.process->pid(), sidecar.internal));
  }
  return usage;
}

void customer_run::BeginIdle() {
  idle_since_ = steady_clock::now();
  idle_usage_ = Usage();
}

void customer_run::EndIdle(policy_figures& figures) {
  const std::vector<process_usage> now = Usage();
  const double seconds = Seconds(steady_clock::now() - idle_since_);
  const std::size_t entries = fleet_->entry_count();
  double entry_cpu = 0;
  double sidecar_cpu = 0;
  for (std::size_t i = 0; i < now.size(); ++i) {
    const bool entry = i < entries;
    const double cpu =
        (now[i].cpu_seconds - idle_usage_[i].cpu_seconds) / seconds;
    const double bytes =
        (now[i].control_bytes - idle_usage_[i].control_bytes) / seconds;
    (entry ? entry_cpu : sidecar_cpu) =
        std::max(entry ? entry_cpu : sidecar_cpu, cpu);
    (entry ? figures.entry_mb : figures.sidecar_mb) = std::max(
        entry ? figures.entry_mb : figures.sidecar_mb, now[i].resident_mb);
    figures.control_bytes_per_s = std::max(figures.control_bytes_per_s, bytes);
  }
  // A node with an entry host and a sidecar pays for both.
  figures.control_cpu = entry_cpu + sidecar_cpu;
}

std::vector<loadgen::caller_summary> customer_run::Load(double seconds) {
  loadgen::run_options options;
  options.targets = targets();
  const auto summaries =
      loadgen::RunLoad(LoadOf(who_, size_, *fleet_, seconds, seed_), options);
  return summaries ? *summaries : std::vector<loadgen::caller_summary>();
}

std::vector<std::string> customer_run::SubmitJobs(
    double seconds,
    std::vector<std::string>& accepted) {
  const double tokens =
      seconds * kMostTokensPerEngine * static_cast<double>(engines_);
  // A sidecar works on one group of 1,000 items, so each needs one of its own
  // until the end.
  const auto jobs =
      static_cast<std::size_t>(tokens / kItemTokens / kItemsPerJob) + engines_;
  std::vector<std::string> ids;
  std::size_t next_account = 0;
  const auto accounts = AccountsOf(who_, size_);
  for (std::size_t i = 0; i < jobs; ++i) {
    auto account = accounts.begin();
    std::advance(account, next_account++ % accounts.size());
    demo::batch_caller caller(*fleet_, fleet_->key(account->first));
    const std::string prefix =
        "lot-" + std::to_string(seed_) + "-" + std::to_string(i);
    std::vector<std::string> items;
    const demo::job_view job =
        caller.Submit(JobLines(who_.model, prefix, items));
    if (!job.id.empty()) {
      ids.push_back(account->first + "/" + job.id);
      accepted.insert(accepted.end(), items.begin(), items.end());
    }
  }
  return ids;
}

double customer_run::EngineTokens() {
  double tokens = 0;
  for (std::size_t i = 0; i < engines_; ++i) {
    tokens += fleet_->Stat(fleet_->backend(who_.model, i), {"tokens"});
  }
  return tokens;
}

void customer_run::SetBatchWeight(double weight) {
  const auto folder =
      ParseFolder({{"fleet.toml", ConfigurationOf(who_, size_, weight)}});
  const auto written = fleet_->Change(
      [&](const configuration& now) { return ApplyFolder(now, *folder); },
      "batch weight");
  if (!written) {
    std::cerr << "measure: " << written.error().message() << "\n";
  }
}

void customer_run::AddAdmission(
    const std::vector<loadgen::caller_summary>& summaries,
    policy_figures& figures) {
  const loadgen::load_profile profile = LoadOf(who_, size_, *fleet_, 1, seed_);
  std::map<std::string, std::vector<loadgen::call_sample>> by_account;
  for (std::size_t i = 0; i < summaries.size(); ++i) {
    auto& samples = by_account[profile.callers[i].account];
    samples.insert(samples.end(), summaries[i].samples.begin(),
                   summaries[i].samples.end());
  }
  for (const auto& [account, limits] : AccountsOf(who_, size_)) {
    const admission_figures one = FiguresOf(by_account[account], limits);
    inside_rate_ += static_cast<double>(one.inside_rate);
    wrongly_refused_ += static_cast<double>(one.wrongly_refused);
    figures.overrun = std::max(figures.overrun, one.overrun);
    const double ratio =
        static_cast<double>(one.served) /
        std::max<double>(1, static_cast<double>(one.fair_share));
    figures.worst_account = figures.worst_account == 0
                                ? ratio
                                : std::min(figures.worst_account, ratio);
  }
  figures.wrongful_refusals = wrongly_refused_ / std::max(1.0, inside_rate_);
}

void customer_run::WaitToFill() const {
  std::this_thread::sleep_until(started_ + kSettle);
}

void customer_run::Measure(double seconds,
                           bool batch_alone,
                           policy_figures& figures) {
  const auto alone = Load(seconds);
  figures.p99_alone_ms = P99(alone);
  figures.p99_alone_inside_ms = P99(InsideRate(alone));
  AddAdmission(alone, figures);

  std::vector<std::string> accepted;
  const double before = EngineTokens();
  SubmitJobs((batch_alone ? 2 : 1) * seconds + 3 * Seconds(kSettle), accepted);
  harness::WaitUntil([&] { return EngineTokens() > before; });
  if (!batch_alone) {
    std::this_thread::sleep_for(kSettle);
  } else {
    // A low weight keeps batch work from filling the engines even when alone,
    // and would so make the remainder too small.
    SetBatchWeight(1);
    std::this_thread::sleep_for(kSettle);
    const auto begin = steady_clock::now();
    const double tokens = EngineTokens();
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    batch_alone_ =
        (EngineTokens() - tokens) / Seconds(steady_clock::now() - begin);
    SetBatchWeight(who_.batch_weight);
    std::this_thread::sleep_for(kSettle);
  }

  const auto begin = steady_clock::now();
  const double tokens = EngineTokens();
  const auto both = Load(seconds);
  const double all = EngineTokens() - tokens;
  const double length = Seconds(steady_clock::now() - begin);
  figures.online_tokens_per_s = Tokens(both) / length;
  figures.batch_tokens_per_s = all / length - figures.online_tokens_per_s;
  figures.p99_with_batch_ms = P99(both);
  figures.p99_with_batch_inside_ms = P99(InsideRate(both));
  figures.online_p99_ratio =
      figures.p99_with_batch_ms / std::max(0.001, figures.p99_alone_ms);
  AddAdmission(both, figures);
}

void SetShare(double batch_alone, policy_figures& figures) {
  figures.remainder_tokens_per_s = batch_alone - figures.online_tokens_per_s;
  figures.batch_share = figures.batch_tokens_per_s /
                        std::max(1.0, figures.remainder_tokens_per_s);
}

}  // namespace cardamomyard::measure
