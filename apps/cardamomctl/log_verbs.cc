#include <boost/json.hpp>
#include <fstream>
#include <iostream>

#include "cardamomctl/command.h"
#include "cardamomctl/log_timeline.h"

namespace cardamomyard::ctl {
namespace json = boost::json;
namespace {

void PrintLine(const log_line& line, bool as_json, std::ostream& out) {
  if (as_json) {
    json::object object{{"time", line.time},
                        {"host", line.source},
                        {"level", line.level},
                        {"part", line.part},
                        {"message", line.message}};
    for (const auto& [name, value] : line.fields) {
      object[name] = value;
    }
    out << json::serialize(object) << "\n";
    return;
  }
  out << line.time << "  " << line.source << "  [" << line.part << "] "
      << line.message;
  for (const auto& [name, value] : line.fields) {
    out << " " << name << "=" << value;
  }
  out << "\n";
}

int Explain(invocation& call) {
  log_timeline timeline(call.arguments.front());
  for (std::size_t i = 1; i < call.arguments.size(); ++i) {
    const std::string& name = call.arguments[i];
    if (name == "-") {
      timeline.Read(std::cin, "-");
      continue;
    }
    std::ifstream file(name);
    if (!file) {
      *call.err << "cardamomctl: " << name << " cannot be read\n";
      return usage;
    }
    timeline.Read(file, name);
  }
  const std::vector<log_line> lines = timeline.Lines();
  for (const log_line& line : lines) {
    PrintLine(line, call.json, *call.out);
  }
  if (timeline.unreadable() > 0) {
    *call.err << "cardamomctl: " << timeline.unreadable()
              << " lines are no JSON objects\n";
  }
  if (lines.empty()) {
    *call.err << "cardamomctl: no line names " << call.arguments.front()
              << "\n";
    return refused;
  }
  return ok;
}

}  // namespace

std::vector<verb> LogVerbs() {
  return {{"explain", "ID FILE...",
           "Prints the log lines of several processes about one request, batch "
           "job or\nbatch item in the order of time, with what was believed of "
           "the backend servers\nthat served it. FILE is a JSON log; - is "
           "standard input. Exit code 1 when no\nline names the id.",
           2, 10'000, true, &Explain}};
}

}  // namespace cardamomyard::ctl
