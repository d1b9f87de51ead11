#include "common/program.h"
#include "store/store_service.h"

int main(int argc, char** argv) {
  using namespace cardamomyard::standins;
  auto options = MakeOptions("standin_store", "Object API in memory");
  options.add_options()("writes-per-second", "Write budget",
                        cxxopts::value<double>()->default_value("400"))(
      "reads-per-second", "Read budget",
      cxxopts::value<double>()->default_value("2000"));
  const auto parsed = ParseOptions(options, argc, argv);
  store_options settings;
  settings.writes_per_second = parsed["writes-per-second"].as<double>();
  settings.reads_per_second = parsed["reads-per-second"].as<double>();
  return RunProgram("standin_store", parsed,
                    std::make_unique<store_service>(settings));
}
