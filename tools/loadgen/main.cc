#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "load_report.h"
#include "load_run.h"

namespace {

using namespace cardamomyard;
using namespace cardamomyard::loadgen;

cxxopts::Options MakeFlags() {
  cxxopts::Options options("loadgen", "Open-loop load on entry hosts");
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  const auto number = [](const char* fallback) {
    return cxxopts::value<double>()->default_value(fallback);
  };
  const auto count = [](const char* fallback) {
    return cxxopts::value<std::size_t>()->default_value(fallback);
  };
  options.add_options()("targets", "ip:port,ip:port",
                        cxxopts::value<std::vector<std::string>>())(
      "profile", "JSON file; replaces the flags of a caller", text(""))(
      "seconds", "Length of the run", cxxopts::value<double>())(
      "seed", "Seed of arrivals and prompts", cxxopts::value<std::uint64_t>())(
      "threads", "Threads", count("2"))(
      "max-in-flight", "Requests in flight before arrivals are skipped",
      count("5000"))("help", "Print usage");
  options.add_options("Caller")("name", "Name", text("caller"))(
      "key", "API key", text(""))("account", "Account, for the report",
                                  text(""))(
      "path", "Path", text("/v1/completions"))("model", "Model", text(""))(
      "rate", "Requests per second", number("10"))(
      "burst-factor", "Rate factor in a burst", number("1"))(
      "burst-period", "Seconds between starts of bursts", number("0"))(
      "burst-length", "Seconds of a burst", number("0"))(
      "prompt-tokens", "Tokens of a prompt", count("64"))(
      "max-tokens", "Tokens to generate", count("16"))(
      "stream", "Stream the answer",
      cxxopts::value<bool>()->default_value("true"))(
      "shared-prefix", "Share of the prompt in common", number("0"));
  return options;
}

caller_profile CallerFromFlags(const cxxopts::ParseResult& parsed) {
  caller_profile caller;
  caller.name = parsed["name"].as<std::string>();
  caller.key = parsed["key"].as<std::string>();
  caller.account = parsed["account"].as<std::string>();
  caller.path = parsed["path"].as<std::string>();
  caller.model = parsed["model"].as<std::string>();
  caller.rate = parsed["rate"].as<double>();
  caller.burst_factor = parsed["burst-factor"].as<double>();
  caller.burst_period_s = parsed["burst-period"].as<double>();
  caller.burst_length_s = parsed["burst-length"].as<double>();
  caller.prompt_tokens = parsed["prompt-tokens"].as<std::size_t>();
  caller.max_tokens = parsed["max-tokens"].as<std::size_t>();
  caller.stream = parsed["stream"].as<bool>();
  caller.shared_prefix = parsed["shared-prefix"].as<double>();
  return caller;
}

result<load_profile> ReadProfile(const cxxopts::ParseResult& parsed) {
  load_profile profile;
  if (const auto path = parsed["profile"].as<std::string>(); !path.empty()) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
      return Fail(error_kind::invalid_request, "cannot read " + path);
    }
    auto read = ParseProfile(text.str());
    if (!read) {
      return read;
    }
    profile = std::move(*read);
  } else {
    profile.callers.push_back(CallerFromFlags(parsed));
  }
  if (parsed.count("seconds") != 0) {
    profile.seconds = parsed["seconds"].as<double>();
  }
  if (parsed.count("seed") != 0) {
    profile.seed = parsed["seed"].as<std::uint64_t>();
  }
  return profile;
}

result<run_options> ReadOptions(const cxxopts::ParseResult& parsed) {
  run_options options;
  options.threads = parsed["threads"].as<std::size_t>();
  options.max_in_flight = parsed["max-in-flight"].as<std::size_t>();
  if (parsed.count("targets") == 0) {
    return Fail(error_kind::invalid_request, "--targets is required");
  }
  for (const auto& text : parsed["targets"].as<std::vector<std::string>>()) {
    auto address = host_address::Parse(text);
    if (!address) {
      return Fail(address.error());
    }
    options.targets.push_back(std::move(*address));
  }
  return options;
}

int Run(const cxxopts::ParseResult& parsed) {
  const auto profile = ReadProfile(parsed);
  const auto options = ReadOptions(parsed);
  if (!profile || !options) {
    std::cerr << "loadgen: "
              << (profile ? options.error() : profile.error()).message()
              << '\n';
    return 2;
  }
  const auto summaries = RunLoad(*profile, *options);
  if (!summaries) {
    std::cerr << "loadgen: " << summaries.error().message() << '\n';
    return 1;
  }
  std::cout << FormatTable(*profile, *summaries)
            << FormatJson(*profile, *summaries) << std::endl;
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options flags = MakeFlags();
  try {
    const auto parsed = flags.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << flags.help();
      return 0;
    }
    return Run(parsed);
  } catch (const std::exception& failure) {
    std::cerr << "loadgen: " << failure.what() << '\n';
    return 2;
  }
}
