#include "fault_run.h"

#include <signal.h>

#include <future>
#include <iostream>
#include <thread>

#include "demo/batch_run.h"
#include "demo/item_ledger.h"
#include "harness/wait_until.h"

namespace cardamomyard::measure {
namespace {

using std::chrono::seconds;

constexpr double kLoadSeconds = 24;
// Enough work to last beyond the outage.
constexpr double kBatchSeconds = 6;
constexpr std::chrono::minutes kLongestEnd{3};

struct submitted_job {
  std::string account;
  std::string id;
};

submitted_job Split(const std::string& name) {
  const std::size_t slash = name.find('/');
  return {name.substr(0, slash), name.substr(slash + 1)};
}

void InjectFaults(harness::fleet& fleet, const customer& who) {
  std::this_thread::sleep_for(seconds(2));
  harness::fleet_member& killed = fleet.sidecar(who.model, 0);
  killed.process->Kill();
  harness::child_process& frozen = *fleet.entry(0).process;
  frozen.Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(7));
  frozen.Signal(SIGCONT);
  fleet.Control(fleet.store(), R"({"outage":true})");
  std::this_thread::sleep_for(seconds(10));
  fleet.Control(fleet.store(), R"({"outage":false})");
  if (const auto restarted = fleet.Restart(killed); !restarted) {
    std::cerr << "measure: " << restarted.error().message() << "\n";
  }
}

}  // namespace

fault_figures RunWithFaults(customer_run& run, const customer& who) {
  fault_figures figures;
  std::vector<std::string> accepted;
  const std::vector<std::string> jobs = run.SubmitJobs(kBatchSeconds, accepted);
  demo::item_ledger ledger;
  for (const std::string& item : accepted) {
    ledger.Accept(item);
  }
  auto load =
      std::async(std::launch::async, [&run] { return run.Load(kLoadSeconds); });
  InjectFaults(run.fleet(), who);
  policy_figures admission;
  run.AddAdmission(load.get(), admission);
  figures.overrun = admission.overrun;

  figures.jobs_ended = true;
  for (const std::string& name : jobs) {
    const submitted_job job = Split(name);
    demo::batch_caller caller(run.fleet(), run.fleet().key(job.account));
    const bool ended = harness::WaitUntil(
        [&] { return caller.Read(job.id).ended(); }, kLongestEnd);
    figures.jobs_ended = figures.jobs_ended && ended;
    ledger.AddResults(caller.Content(job.id + "-output"), false);
    ledger.AddResults(caller.Content(job.id + "-errors"), true);
  }
  figures.accepted_items = ledger.accepted();
  figures.lost_items = ledger.lost();
  figures.doubled_items = ledger.doubled();
  return figures;
}

}  // namespace cardamomyard::measure
