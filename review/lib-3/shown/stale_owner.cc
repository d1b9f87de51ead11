// A store machine (worker) freezes for some seconds and goes on. Meanwhile
// another worker takes over its jobs and lists their results, and a client has
// read them. Checked: what was read is still there for each later read.
#include "../rig.h"

using namespace rig;

namespace {

constexpr auto kFreeze = 8000ms;  // See claim.txt.
constexpr auto kSettle = 1000ms;  // `settle-ms`.
constexpr int kJobs = 9;
constexpr int kItems = 32;

struct seen_position {
  time_point at;
  std::string item;
};

std::mutex mutex;
std::map<std::string, std::vector<seen_position>> seen;  // By job.
std::atomic<bool> broken{false};
std::string first_break;

/// Reads a job from the start to its end so far, as any client of the tenant
/// may, and compares the answers with all that was read long enough before.
void ReadAndCheck(const machine& gateway, const std::string& job) {
  std::size_t at = 0;
  while (true) {
    const time_point sent = clock_type::now();
    int status = 0;
    const auto read = ReadJob(gateway, job, at, status);
    const time_point answered = clock_type::now();
    const std::lock_guard lock(mutex);
    auto& positions = seen[job];
    std::size_t settled = 0;
    while (settled < positions.size() &&
           positions[settled].at + kSettle < sent) {
      ++settled;
    }
    std::string problem;
    std::size_t got = 0;
    if (status == 404 || status == 410) {
      problem = "is answered " + std::to_string(status);
    }
    if (read) {
      const auto& results = read->at("results").as_array();
      got = results.size();
      if (results.empty() && settled > at) {
        problem = "has nothing at position " + std::to_string(at) + ": " +
                  json::serialize(*read);
      }
      for (std::size_t i = 0; i < results.size(); ++i) {
        const std::string item(results[i].at("id").as_string());
        if (at + i >= positions.size()) {
          positions.push_back({answered, item});
        } else if (positions[at + i].item != item) {
          problem =
              "holds another result at position " + std::to_string(at + i);
        }
      }
    }
    std::ostringstream line;
    line << "client reads job " << job << " after " << at << " at "
         << gateway.name << ": " << status << ", " << got << " results";
    record::Line(line.str());
    if (!problem.empty()) {
      std::ostringstream words;
      words << "job " << job << " read at " << gateway.name << " " << problem
            << ", though " << settled << " positions were read over "
            << kSettle.count() << " ms before";
      const std::string text = words.str();
      record::Line("BROKEN: " + text);
      if (!broken.exchange(true)) {
        first_break = text;
      }
    }
    if (got == 0) {
      return;
    }
    at += got;
  }
}

/// \returns the worker with the most jobs, so that the freeze meets some. Only
/// for this choice the record of a job in the store is looked at.
machine* MostJobs(deployment& all,
                  const std::vector<machine*>& workers,
                  const std::vector<std::string>& jobs) {
  std::map<std::string, int> count;
  for (const std::string& job : jobs) {
    const json::value spec = all.data().Spec("batch-job", job);
    const std::string text =
        spec.is_string() ? std::string(spec.as_string()) : "";
    for (const machine* worker : workers) {
      count[worker->name] +=
          text.find("\"owner\":\"" + worker->name) != std::string::npos ? 1 : 0;
    }
  }
  machine* most = workers[0];
  for (machine* worker : workers) {
    most = count[worker->name] > count[most->name] ? worker : most;
  }
  return most;
}

}  // namespace

int main(int, char** arguments) {
  record::Open(arguments[1]);
  deployment all;
  std::vector<std::unique_ptr<backend>> servers;
  for (int i = 0; i < 2; ++i) {
    servers.push_back(
        std::make_unique<backend>(all.NextIp(), "i-" + NewId().substr(0, 10), 6,
                                  backend::plan{.events = 20, .gap = 25ms}));
    servers.back()->Register(all.data(), "carver-model");
  }
  all.data().Put(
      "config", "main",
      Configuration(
          1, {Route("lots", "batch", "carver-model", 15000, 400, 3, false)},
          {json::object{{"name", "carver-model"}}}));
  machine& gateway_1 = all.Add("gateway", "edge-1");
  machine& gateway_2 = all.Add("gateway", "edge-2");
  std::vector<machine*> workers;
  for (int i = 1; i <= 3; ++i) {
    workers.push_back(&all.Add("worker", "storage-" + std::to_string(i)));
  }
  all.Start(gateway_1);
  all.Start(gateway_2);
  for (machine* worker : workers) {
    all.Start(*worker);
  }
  if (!WaitUntil([&] { return all.Ready(gateway_1) && all.Ready(gateway_2); },
                 10s)) {
    Finish(all, kCouldNotRun, "the gateways are not ready");
  }
  Sleep(3000ms);  // Traffic starts some seconds after the machines do.

  std::vector<std::string> jobs;
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = NewId();
    const std::vector<std::string> items = NewIds(kItems);
    if (Submit(gateway_1, "lots", job, items).status != 202) {
      Finish(all, kCouldNotRun, "a job was not accepted");
    }
    jobs.push_back(job);
  }
  // Both clients have read the jobs, which are at work, before the freeze. No
  // job has been accepted or finished for some seconds then.
  WaitUntil(
      [&] {
        return clock_type::now() - all.data().LastChange("batch-job") > 2300ms;
      },
      6s);
  for (const std::string& job : jobs) {
    ReadAndCheck(gateway_1, job);
    ReadAndCheck(gateway_2, job);
  }
  machine& frozen = *MostJobs(all, workers, jobs);
  if (Trouble()) {
    deployment::Signal(frozen, SIGSTOP, "SIGSTOP");
  }
  const time_point freeze_end = clock_type::now() + kFreeze;

  // Other jobs come all the while.
  std::atomic<bool> ends{false};
  std::thread traffic([&] {
    while (!ends) {
      Submit(gateway_1, "lots", NewId(), {NewId()});
      Sleep(500ms);
    }
  });
  // The client of the jobs reads about twice per second, at one node.
  std::thread owner([&] {
    while (!ends) {
      for (const std::string& job : jobs) {
        ReadAndCheck(gateway_1, job);
      }
      Sleep(500ms);
    }
  });
  std::this_thread::sleep_until(freeze_end);
  if (Trouble()) {
    deployment::Signal(frozen, SIGCONT, "SIGCONT");
  }
  // Another client of the tenant reads at another node again.
  Sleep(100ms);
  const time_point end = clock_type::now() + 6s;
  while (clock_type::now() < end) {
    for (const std::string& job : jobs) {
      ReadAndCheck(gateway_2, job);
    }
    Sleep(50ms);
  }
  ends = true;
  owner.join();
  traffic.join();
  std::size_t listed = 0;
  for (const auto& [job, positions] : seen) {
    listed += positions.size();
  }
  record::Line("positions read: " + std::to_string(listed) + " of " +
               std::to_string(kJobs * kItems));
  if (broken) {
    Finish(all, kBroken, "LOST: " + first_break);
  }
  if (listed < kJobs * kItems / 2) {
    Finish(all, kCouldNotRun, "too few results were read");
  }
  Finish(all, kHeld, "all that was read stayed readable");
}
