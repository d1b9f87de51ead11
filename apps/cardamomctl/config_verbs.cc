#include <thread>

#include "cardamomctl/folder_reader.h"
#include "cardamomctl/server_call.h"

namespace cardamomyard::ctl {
namespace json = boost::json;
namespace {

constexpr std::chrono::milliseconds kSpreadWait{3000};
constexpr std::chrono::milliseconds kSpreadPoll{100};
constexpr std::chrono::milliseconds kWatchInterval{500};
// A sidecar beats once a second; one that is silent for longer is gone.
constexpr std::int64_t kSilentMs = 10'000;

/// Checks the files. \returns ok, or refused after every error was printed.
int CheckFiles(const invocation& call, const std::vector<config_file>& files) {
  const auto folder = ParseFolder(files);
  if (folder) {
    return ok;
  }
  for (const config_error& fault : folder.error()) {
    *call.err << fault.ToString() << "\n";
  }
  return refused;
}

json::array FilesToJson(const std::vector<config_file>& files) {
  json::array list;
  for (const config_file& file : files) {
    list.push_back(json::object{{"name", file.name}, {"text", file.text}});
  }
  return list;
}

int Check(invocation& call) {
  const auto files = ReadFolder(call.arguments[0]);
  if (!files) {
    *call.err << "cardamomctl: " << files.error().message() << "\n";
    return usage;
  }
  const int checked = CheckFiles(call, *files);
  if (checked == ok) {
    *call.out << "The folder is valid.\n";
  }
  return checked;
}

int ShowDiff(invocation& call) {
  const auto files = ReadStableFolder(call.arguments[0]);
  if (!files) {
    *call.err << "cardamomctl: " << files.error().message() << "\n";
    return usage;
  }
  if (const int checked = CheckFiles(call, *files); checked != ok) {
    return checked;
  }
  const json::object body{{"files", FilesToJson(*files)}};
  return CallAndPrint(call, "POST", "/admin/v1/config/diff",
                      json::serialize(body),
                      [](const json::value& answer, std::ostream& out) {
                        PrintLines(answer, "changes", out);
                      });
}

/// \returns the processes that are known and not at \p generation.
std::vector<std::string> Behind(const json::value& status,
                                std::uint64_t generation) {
  std::vector<std::string> behind;
  for (const json::value& process : status.at("processes").as_array()) {
    const json::value& at = process.at("generation");
    const json::value* silent = process.as_object().if_contains("heard_ms_ago");
    const bool gone =
        silent != nullptr && silent->to_number<std::int64_t>() > kSilentMs;
    if (!gone && (at.is_null() || at.to_number<std::uint64_t>() < generation)) {
      behind.push_back(Field(process, "id"));
    }
  }
  return behind;
}

/// Waits until every process has the generation and says which have not.
void WaitForSpread(invocation& call, std::uint64_t generation) {
  const host_clock time;
  const time_point end = time.Now() + kSpreadWait;
  std::vector<std::string> behind;
  do {
    const server_answer answer = CallServer(call, "GET", "/admin/v1/status");
    if (std::holds_alternative<int>(answer)) {
      return;
    }
    behind = Behind(std::get<json::value>(answer), generation);
    if (behind.empty()) {
      *call.err << "Generation " << generation
                << " is in force on every process known.\n";
      return;
    }
    std::this_thread::sleep_for(kSpreadPoll);
  } while (time.Now() < end);
  *call.err << "Generation " << generation << " is not yet in force on:";
  for (const std::string& id : behind) {
    *call.err << " " << id;
  }
  *call.err << "\n";
}

int ApplyFiles(invocation& call, const std::vector<config_file>& files) {
  if (const int checked = CheckFiles(call, files); checked != ok) {
    return checked;
  }
  const server_answer current = CallServer(call, "GET", "/admin/v1/config");
  if (const int* code = std::get_if<int>(&current)) {
    return *code;
  }
  const json::object body{
      {"expected_generation", std::get<json::value>(current).at("generation")},
      {"author", call.author},
      {"files", FilesToJson(files)}};
  std::uint64_t generation = 0;
  const server_answer answer =
      CallServer(call, "POST", "/admin/v1/config", json::serialize(body));
  if (const int* code = std::get_if<int>(&answer)) {
    return *code;
  }
  const json::value& applied = std::get<json::value>(answer);
  generation = applied.at("generation").to_number<std::uint64_t>();
  if (call.json) {
    *call.out << json::serialize(applied) << "\n";
  } else {
    PrintLines(applied, "changes", *call.out);
    *call.out << "generation " << generation << "\n";
  }
  WaitForSpread(call, generation);
  return ok;
}

int Apply(invocation& call) {
  const auto files = ReadStableFolder(call.arguments[0]);
  if (!files) {
    *call.err << "cardamomctl: " << files.error().message() << "\n";
    return usage;
  }
  return ApplyFiles(call, *files);
}

int Watch(invocation& call) {
  std::chrono::milliseconds interval = kWatchInterval;
  if (const std::string text = call.Flag("interval-ms"); !text.empty()) {
    interval = std::chrono::milliseconds(std::atoi(text.c_str()));
    if (interval < std::chrono::milliseconds(50)) {
      *call.err << "cardamomctl: --interval-ms: expected at least 50\n";
      return usage;
    }
  }
  std::string applied;
  std::string reported;
  while (true) {
    const std::string stamp = FolderStamp(call.arguments[0]);
    if (stamp != applied && stamp != reported) {
      const auto files = ReadStableFolder(call.arguments[0]);
      int code = refused;
      if (files) {
        code = ApplyFiles(call, *files);
      } else {
        *call.err << "cardamomctl: " << files.error().message() << "\n";
      }
      if (code == ok) {
        applied = stamp;
      }
      // An invalid folder is reported once; an unreachable server is tried
      // again.
      reported = code == refused ? stamp : "";
      call.out->flush();
    }
    std::this_thread::sleep_for(interval);
  }
}

int Show(invocation& call) {
  return CallAndPrint(call, "GET", "/admin/v1/config", "",
                      [](const json::value& answer, std::ostream& out) {
                        for (const auto& member : answer.as_object()) {
                          const std::string name(member.key());
                          out << name << ": " << Field(answer, name.c_str())
                              << "\n";
                        }
                      });
}

}  // namespace

std::vector<verb> ConfigVerbs() {
  return {
      {"config check", "DIR",
       "Checks the folder without a server. Each error is printed as\n"
       "file:line: key: message.",
       1, 1, true, Check},
      {"config diff", "DIR",
       "Shows what applying the folder would change. Changes nothing.", 1, 1,
       false, ShowDiff},
      {"config apply", "DIR",
       "Replaces everything that came from the folder before, shows what\n"
       "changed and waits up to 3 s until every process has it. Refused when\n"
       "another operator changed the configuration at the same time.",
       1, 1, false, Apply},
      {"config watch", "DIR [--interval-ms N]",
       "Applies the folder each time it changes, until it is stopped. An\n"
       "invalid folder is reported and changes nothing.",
       1, 1, false, Watch},
      {"config show", "", "Shows the generation, its author, time and summary.",
       0, 0, false, Show},
  };
}

}  // namespace cardamomyard::ctl
