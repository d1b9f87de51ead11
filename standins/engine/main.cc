#include <cstdlib>

#include "common/program.h"
#include "engine/engine_service.h"

namespace {

using namespace cardamomyard::standins;

cxxopts::Options EngineFlags() {
  auto options = MakeOptions("standin_engine", "Model engine without a model");
  options.add_options()("step-ms", "Time of an empty step",
                        cxxopts::value<double>()->default_value("2"))(
      "step-per-seq-ms", "Time that each running sequence adds to a step",
      cxxopts::value<double>()->default_value("0.02"))(
      "prefill-ms-per-token", "Time to read one prompt token",
      cxxopts::value<double>()->default_value("0.05"))(
      "max-batch", "Most sequences that run at once",
      cxxopts::value<std::size_t>()->default_value("64"))(
      "cache-tokens", "Size of the prefix cache",
      cxxopts::value<std::size_t>()->default_value("65536"))(
      "load-lag-ms", "Age of the published load",
      cxxopts::value<int>()->default_value("200"))(
      "event-lag-ms", "Age at which cache events are published",
      cxxopts::value<int>()->default_value("500"))(
      "event-gaps", "Share of cache events that are lost",
      cxxopts::value<double>()->default_value("0.05"))(
      "order-ms", "Time that an order takes",
      cxxopts::value<int>()->default_value("0"))(
      "check-fencing", "Refuse orders with an old fencing number")(
      "crash-token", "Text in a prompt that crashes the engine",
      cxxopts::value<std::string>()->default_value("CRASH_ENGINE"))(
      "crash-mode", "exit or drop",
      cxxopts::value<std::string>()->default_value("exit"))(
      "restart-ms", "Time without service after a crash in drop mode",
      cxxopts::value<int>()->default_value("1000"))(
      "seed", "Seed of the lost cache events",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  return options;
}

engine_options ReadFlags(const cxxopts::ParseResult& parsed) {
  const auto milliseconds = [&parsed](const char* name) {
    return std::chrono::milliseconds(parsed[name].as<int>());
  };
  engine_options settings;
  settings.step_ms = parsed["step-ms"].as<double>();
  settings.step_per_seq_ms = parsed["step-per-seq-ms"].as<double>();
  settings.prefill_ms_per_token = parsed["prefill-ms-per-token"].as<double>();
  settings.max_batch = parsed["max-batch"].as<std::size_t>();
  settings.cache_tokens = parsed["cache-tokens"].as<std::size_t>();
  settings.load_lag = milliseconds("load-lag-ms");
  settings.event_lag = milliseconds("event-lag-ms");
  settings.event_gaps = parsed["event-gaps"].as<double>();
  settings.order_delay = milliseconds("order-ms");
  settings.check_fencing = parsed.count("check-fencing") != 0;
  settings.crash_token = parsed["crash-token"].as<std::string>();
  settings.seed = parsed["seed"].as<std::uint64_t>();
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  auto options = EngineFlags();
  const auto parsed = ParseOptions(options, argc, argv);
  auto engine = std::make_unique<engine_service>(ReadFlags(parsed));
  engine_service& crashing = *engine;
  return RunProgram(
      "standin_engine", parsed, std::move(engine),
      [&crashing, &parsed](service_host& host) {
        if (parsed["crash-mode"].as<std::string>() == "drop") {
          const std::chrono::milliseconds pause(parsed["restart-ms"].as<int>());
          crashing.set_on_crash([&host, pause] { host.RefuseFor(pause); });
        } else {
          // The state of a crashed process is gone; nothing is cleaned up.
          crashing.set_on_crash([] { std::_Exit(70); });
        }
      });
}
