#include "common/program.h"
#include "weights/weights_service.h"

int main(int argc, char** argv) {
  using namespace cardamomyard::standins;
  auto options = MakeOptions("standin_weights", "Weight store");
  options.add_options()("bytes-per-second", "Rate shared by all reads",
                        cxxopts::value<double>()->default_value("100000000"))(
      "max-concurrent", "Most reads at once",
      cxxopts::value<std::size_t>()->default_value("4"))(
      "object-bytes", "Size of each model version",
      cxxopts::value<std::size_t>()->default_value("1048576"));
  const auto parsed = ParseOptions(options, argc, argv);
  weights_options settings;
  settings.bytes_per_second = parsed["bytes-per-second"].as<double>();
  settings.max_concurrent = parsed["max-concurrent"].as<std::size_t>();
  settings.object_bytes = parsed["object-bytes"].as<std::size_t>();
  return RunProgram("standin_weights", parsed,
                    std::make_unique<weights_service>(settings));
}
