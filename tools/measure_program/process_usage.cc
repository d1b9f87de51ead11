#include "process_usage.h"

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace cardamomyard::measure {
namespace {

/// Processor time of the kernel and the process, from /proc (proc(5)).
double CpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  // The name in parentheses may hold spaces; utime and stime are the 12th and
  // 13th field after it.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  constexpr double kKbPerMb = 1024;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::atof(line.c_str() + 6) / kKbPerMb;
    }
  }
  return 0;
}

}  // namespace

double SumOfMetric(const std::string& exposition, const std::string& name) {
  std::istringstream lines(exposition);
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    const std::size_t end = line.rfind(' ');
    if (line.starts_with(name) && end != std::string::npos &&
        (line[name.size()] == '{' || line[name.size()] == ' ')) {
      sum += std::atof(line.c_str() + end + 1);
    }
  }
  return sum;
}

process_usage ReadUsage(pid_t pid) {
  process_usage usage;
  usage.cpu_seconds = CpuSeconds(pid);
  usage.resident_mb = ResidentMb(pid);
  return usage;
}

process_usage ReadUsage(harness::test_client& http,
                        pid_t pid,
                        const host_address& metrics) {
  process_usage usage = ReadUsage(pid);
  const std::string text =
      http.Call(metrics, harness::JsonRequest("GET", "/metrics")).body;
  usage.control_bytes = SumOfMetric(text, "cardamomyard_control_bytes_total") +
                        SumOfMetric(text, "cardamomyard_store_bytes_total");
  return usage;
}

}  // namespace cardamomyard::measure
