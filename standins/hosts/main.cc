#include "common/program.h"
#include "hosts/hosts_service.h"

int main(int argc, char** argv) {
  using namespace cardamomyard::standins;
  auto options = MakeOptions("standin_hosts", "Host list");
  options.add_options()("lag-ms", "Age of the list",
                        cxxopts::value<int>()->default_value("0"));
  const auto parsed = ParseOptions(options, argc, argv);
  return RunProgram("standin_hosts", parsed,
                    std::make_unique<hosts_service>(
                        std::chrono::milliseconds(parsed["lag-ms"].as<int>())));
}
