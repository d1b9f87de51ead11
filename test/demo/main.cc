#include <signal.h>

#include <unistd.h>
#include <atomic>
#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/keys.h"
#include "demo/batch_run.h"
#include "demo/item_ledger.h"
#include "harness/fleet.h"
#include "harness/wait_until.h"

namespace cardamomyard::demo {
namespace {

using harness::JsonRequest;
using harness::WaitUntil;

constexpr const char* kModel = "carver-model";
constexpr const char* kService = "stall-app";
constexpr std::size_t kItems = 1000;
constexpr std::size_t kRefuseEvery = 250;
constexpr std::size_t kPrintedItems = 10;
constexpr std::chrono::seconds kWithdrawLimit{3};

/// \brief Plays the steps of the demonstration and counts failed checks.
class demonstration {
 public:
  demonstration(std::unique_ptr<harness::fleet> fleet,
                std::string config_folder,
                std::string output_folder)
      : fleet_(std::move(fleet)),
        config_folder_(std::move(config_folder)),
        output_folder_(std::move(output_folder)) {}

  int Run() {
    if (!Configure()) {
      return Finish();
    }
    CallOnline();
    CallService();
    RunBatch();
    WithdrawWhileStreaming();
    CancelJob();
    ShowReport();
    Stop();
    return Finish();
  }

 private:
  void Check(bool held, const std::string& what) {
    std::cout << (held ? "ok      " : "FAILED  ") << what << std::endl;
    failed_checks_ += held ? 0 : 1;
  }

  bool HasTool() const {
    const char* folder = std::getenv("CARDAMOMYARD_BIN");
    return folder != nullptr &&
           ::access((std::string(folder) + "/cardamomctl").c_str(), X_OK) == 0;
  }

  /// Runs cardamomctl. \returns whether it succeeded, with its output.
  std::pair<bool, std::string> Tool(std::vector<std::string> arguments) {
    const std::string log = fleet_->folder() + "/cardamomctl.out";
    std::filesystem::remove(log);
    harness::child_command command;
    command.program = "cardamomctl";
    command.arguments = {"--author", "demo"};
    command.arguments.insert(command.arguments.end(), arguments.begin(),
                             arguments.end());
    command.environment = {
        {"CARDAMOMYARD_ADMIN_TOKEN", fleet_->admin_token()},
        {"CARDAMOMYARD_SERVER", fleet_->entry(0).address.ToString()}};
    command.log_file = log;
    auto process = harness::child_process::Start(std::move(command));
    if (!process) {
      return {false, process.error().message()};
    }
    const auto status = (*process)->WaitForExit(std::chrono::seconds(30));
    std::ifstream file(log);
    return {status == 0, std::string(std::istreambuf_iterator<char>(file), {})};
  }

  result<configuration> ReadFolder() const {
    std::vector<config_file> files;
    for (const auto& item :
         std::filesystem::directory_iterator(config_folder_)) {
      if (item.path().extension() == ".toml") {
        std::ifstream file(item.path());
        files.push_back(
            {item.path().filename().string(),
             std::string(std::istreambuf_iterator<char>(file), {})});
      }
    }
    auto parsed = ParseFolder(std::move(files));
    if (!parsed) {
      return Fail(error_kind::invalid_request,
                  parsed.error().front().ToString());
    }
    return *parsed;
  }

  bool Configure() {
    const result<configuration> folder = ReadFolder();
    if (!folder) {
      Check(false, "read the folder: " + folder.error().message());
      return false;
    }
    bool applied = false;
    std::string detail;
    if (HasTool()) {
      std::tie(applied, detail) = Tool({"config", "apply", config_folder_});
    } else {
      const auto written = fleet_->Change(
          [&](const configuration& now) { return ApplyFolder(now, *folder); },
          "demo folder");
      applied = written.has_value();
      detail = "written directly, since cardamomctl is not built\n";
    }
    std::cout << detail;
    Check(applied, "the configuration folder is applied");
    const auto with_keys = fleet_->Change(
        [&](const configuration& now) -> result<configuration> {
          result<configuration> next = now;
          for (const char* account : {"workshop", "stall", "visitor"}) {
            const new_key created = CreateKey(std::string(account) + "-1");
            keys_[account] = created.text;
            next = PutApiEntity(
                *next, key_config{created.id, account, created.sha256, false});
            if (!next) {
              return next;
            }
          }
          return next;
        },
        "demo keys");
    Check(with_keys.has_value(), "three client keys are created");
    const bool ready = fleet_->WaitUntilReady();
    Check(ready, "every entry host can use every backend server");
    return applied && with_keys && ready;
  }

  static std::string ChatBody(const std::string& prompt, int tokens) {
    return std::string(R"({"model":")") + kModel +
           R"(","messages":[{"role":"user","content":")" + prompt +
           R"("}],"stream":true,"max_tokens":)" + std::to_string(tokens) + "}";
  }

  harness::stream_answer Stream(const std::string& account,
                                std::size_t entry,
                                const std::string& body,
                                std::atomic<bool>* started = nullptr) {
    return fleet_->http().Stream(
        fleet_->entry(entry).address,
        JsonRequest("POST", "/v1/chat/completions", body, keys_.at(account)),
        [started](std::string_view /*piece*/) {
          if (started != nullptr) {
            *started = true;
          }
          return true;
        });
  }

  void CallOnline() {
    constexpr std::size_t kCalls = 20;
    std::size_t whole = 0;
    for (std::size_t i = 0; i < kCalls; ++i) {
      const auto answer =
          Stream(i % 2 == 0 ? "workshop" : "stall", i % 2,
                 ChatBody("care of gourd " + std::to_string(i), 12));
      whole +=
          answer.whole && answer.body.find("data: [DONE]") != std::string::npos
              ? 1
              : 0;
    }
    Check(whole == kCalls, std::to_string(whole) + " of " +
                               std::to_string(kCalls) +
                               " streaming chat completions came whole");
  }

  void CallService() {
    for (const char* path : {"/stock", "/orders"}) {
      const std::string id = std::string("demo-") + (path + 1);
      const http_response answer = fleet_->http().Call(
          fleet_->entry(1).address,
          JsonRequest("POST", path, R"({"call_id":")" + id + R"("})",
                      keys_.at("stall")));
      Check(answer.status == 200 &&
                fleet_->Stat(fleet_->backend(kService), {"by_call", id}) == 1,
            std::string("a call to ") + path + " ran once at the service");
    }
    Check(fleet_->http()
                  .Call(fleet_->entry(0).address, JsonRequest("GET", "/hours"))
                  .status == 200,
          "the open route needs no key");
  }

  void RunBatch() {
    const std::string lines = MakeItems("item-", kItems, kRefuseEvery, 16);
    std::ofstream(output_folder_ + "/items.jsonl") << lines;
    batch_caller caller(*fleet_, keys_.at("workshop"));
    const job_view job = caller.Submit(lines);
    Check(!job.id.empty() && job.total == kItems,
          "a batch job of " + std::to_string(kItems) + " items is accepted");
    if (job.id.empty()) {
      return;
    }
    for (std::size_t i = 0; i < kItems; ++i) {
      std::string number = std::to_string(i);
      ledger_.Accept("item-" + std::string(5 - number.size(), '0') + number);
    }
    harness::fleet_member& victim = fleet_->sidecar(kModel, 0);
    const auto engine_work = [this] {
      return fleet_->Stat(fleet_->backend(kModel, 0), {"completed"}) +
             fleet_->Stat(fleet_->backend(kModel, 1), {"completed"});
    };
    const double before = engine_work();
    const bool half_way =
        WaitUntil([&] { return engine_work() - before >= kItems / 2.0; },
                  std::chrono::seconds(60));
    const job_view at_kill = caller.Read(job.id);
    const pid_t pid = victim.process->pid();
    victim.process->Kill();
    Check(half_way && !at_kill.ended(), "sidecar " + victim.id + " (pid " +
                                            std::to_string(pid) +
                                            ") is killed while the job runs");
    const result<void> restarted = fleet_->Restart(victim);
    Check(restarted.has_value(), "the sidecar is started again");
    job_view last;
    // A dead holder's lease lasts 15 s.
    const bool ended = WaitUntil(
        [&] {
          last = caller.Read(job.id);
          return last.ended();
        },
        std::chrono::seconds(120));
    Check(ended, "the job ended as " + last.status);
    const std::string output = caller.Content(job.id + "-output");
    const std::string errors = caller.Content(job.id + "-errors");
    Check(ledger_.AddResults(output, false) && ledger_.AddResults(errors, true),
          "the output and error files can be read back");
    Check(last.completed == ledger_.completed() &&
              last.failed == ledger_.failed(),
          "the job record and the files give the same counts");
    Check(ledger_.failed() == kItems / kRefuseEvery,
          "exactly the items that can never be completed failed");
    Check(engine_work() - before >= static_cast<double>(ledger_.completed()),
          "the engines completed at least one run for each completed item");
    std::ofstream list(output_folder_ + "/accounts.txt");
    ledger_.Print(list, ledger_.accepted());
    std::cout << "\n";
    ledger_.Print(std::cout, kPrintedItems);
    std::cout << "... all items: " << output_folder_ << "/accounts.txt\n\n";
  }

  void WithdrawWhileStreaming() {
    std::atomic<bool> started = false;
    auto running = std::async(std::launch::async, [&] {
      return Stream("visitor", 1, ChatBody("a long tale", 5000), &started);
    });
    WaitUntil([&] { return started.load(); });
    bool withdrawn = false;
    if (HasTool()) {
      withdrawn = Tool({"keys", "withdraw", "visitor-1"}).first;
    } else {
      withdrawn = fleet_
                      ->Change(
                          [](const configuration& now) {
                            return WithdrawKey(now, "visitor-1");
                          },
                          "withdraw visitor-1")
                      .has_value();
    }
    Check(withdrawn, "the key visitor-1 is withdrawn");
    Check(running.wait_for(kWithdrawLimit) == std::future_status::ready,
          "its running stream ended within 3 s");
    Check(running.get().body.find("key_withdrawn") != std::string::npos,
          "the stream says that the key was withdrawn");
    Check(WaitUntil(
              [&] {
                return Stream("visitor", 0, ChatBody("again", 2)).status == 401;
              },
              kWithdrawLimit),
          "the other entry host refuses the key, too");
  }

  void CancelJob() {
    batch_caller caller(*fleet_, keys_.at("stall"));
    const job_view job =
        caller.Submit(MakeItems("cancel-", kItems, kItems, 400));
    Check(!job.id.empty(), "a second job is accepted");
    if (job.id.empty()) {
      return;
    }
    Check(caller.Cancel(job.id) == 200, "it is cancelled");
    Check(WaitUntil([&] { return caller.Read(job.id).status == "cancelled"; }),
          "it ended as cancelled");
    const auto sum = [&](const char* name) {
      return fleet_->Stat(fleet_->backend(kModel, 0), {name}) +
             fleet_->Stat(fleet_->backend(kModel, 1), {name});
    };
    // A sidecar that went on would start the next item as soon as one ends.
    Check(WaitUntil([&] {
            return sum("started") == sum("completed") + sum("cancelled");
          }),
          "the engines start no more of its items");
  }

  void ShowReport() {
    double keys_seen = 0;
    for (const auto& [deployment, count] :
         std::map<std::string, std::size_t>{{kModel, 2}, {kService, 1}}) {
      for (std::size_t i = 0; i < count; ++i) {
        keys_seen +=
            fleet_->Stat(fleet_->backend(deployment, i), {"keys_seen"});
      }
    }
    Check(keys_seen == 0, "no backend server saw a key");
    if (HasTool()) {
      const auto [listed, text] = Tool({"batches", "list"});
      std::cout << text;
      Check(listed, "cardamomctl lists the jobs");
    }
  }

  void Stop() {
    const std::vector<std::string> failed =
        fleet_->StopAll(std::chrono::seconds(70));
    for (const std::string& id : failed) {
      std::cout << "not stopped properly: " << id << "\n";
    }
    Check(failed.empty(), "every process stopped when asked");
  }

  int Finish() {
    if (failed_checks_ > 0) {
      fleet_->set_keep_folder(true);
      std::cout << failed_checks_
                << " checks failed; logs: " << fleet_->folder() << "\n";
    }
    std::cout << "accepted=" << ledger_.accepted()
              << " completed=" << ledger_.completed()
              << " failed=" << ledger_.failed() << " lost=" << ledger_.lost()
              << " doubled=" << ledger_.doubled() << std::endl;
    return failed_checks_ == 0 && ledger_.lost() == 0 && ledger_.doubled() == 0
               ? 0
               : 1;
  }

  std::unique_ptr<harness::fleet> fleet_;
  std::string config_folder_;
  std::string output_folder_;
  std::map<std::string, std::string> keys_;
  item_ledger ledger_;
  int failed_checks_ = 0;
};

int Main(const std::string& config_folder, const std::string& output_folder) {
  std::filesystem::create_directories(output_folder);
  harness::fleet_options options;
  options.groups = {{kModel, false, 2, {"--step-ms", "5"}, {}},
                    {kService, true, 1, {}, {}}};
  options.configuration = "none";
  options.weight_store = true;
  auto fleet = harness::fleet::Start(std::move(options));
  if (!fleet) {
    std::cout << "FAILED  start: " << fleet.error().message()
              << "\naccepted=0 completed=0 failed=0 lost=0 doubled=0\n";
    return 1;
  }
  std::cout << "started " << (*fleet)->entry_count()
            << " entry hosts, 2 engines and 1 service with their sidecars\n";
  return demonstration(std::move(*fleet), config_folder, output_folder).Run();
}

}  // namespace
}  // namespace cardamomyard::demo

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "Usage: demo CONFIG_FOLDER OUTPUT_FOLDER\n";
    return 2;
  }
  return cardamomyard::demo::Main(argv[1], argv[2]);
}
