#include "common/program.h"
#include "service/plain_service.h"

int main(int argc, char** argv) {
  using namespace cardamomyard::standins;
  auto options = MakeOptions("standin_service", "Plain HTTP service");
  options.add_options()(
      "name", "Name in the answers",
      cxxopts::value<std::string>()->default_value("service"))(
      "delay-ms", "Time that a call takes",
      cxxopts::value<int>()->default_value("0"))(
      "fail-rate", "Share of calls answered with 500",
      cxxopts::value<double>()->default_value("0"))(
      "seed", "Seed of the failures",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  const auto parsed = ParseOptions(options, argc, argv);
  plain_service_options settings;
  settings.name = parsed["name"].as<std::string>();
  settings.delay = std::chrono::milliseconds(parsed["delay-ms"].as<int>());
  settings.fail_rate = parsed["fail-rate"].as<double>();
  settings.seed = parsed["seed"].as<std::uint64_t>();
  return RunProgram("standin_service", parsed,
                    std::make_unique<plain_service>(settings));
}
