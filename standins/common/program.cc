#include "common/program.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "common/port_file.h"

namespace cardamomyard::standins {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

cxxopts::Options MakeOptions(const std::string& name,
                             const std::string& purpose) {
  cxxopts::Options options(name, purpose);
  options.add_options()(
      "listen", "Address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "port-file", "File that receives ip:port when the program is ready",
      cxxopts::value<std::string>()->default_value(""))("help", "Print usage");
  return options;
}

cxxopts::ParseResult ParseOptions(cxxopts::Options& options,
                                  int argc,
                                  char** argv) {
  try {
    cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      std::exit(0);
    }
    return parsed;
  } catch (const std::exception& failure) {
    std::cerr << options.program() << ": " << failure.what() << '\n';
    std::exit(2);
  }
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

host_address AddressOption(const cxxopts::ParseResult& parsed,
                           const std::string& name) {
  auto address = host_address::Parse(parsed[name].as<std::string>());
  if (!address) {
    std::cerr << "--" << name << ": " << address.error().message() << '\n';
    std::exit(2);
  }
  return *address;
}

int RunProgram(const std::string& name,
               const cxxopts::ParseResult& parsed,
               std::unique_ptr<service> served,
               const std::function<void(service_host&)>& started) {
  BlockStopSignals();
  auto host =
      service_host::Create(std::move(served), AddressOption(parsed, "listen"));
  if (!host) {
    std::cerr << name << ": " << host.error().message() << '\n';
    return 1;
  }
  if (started) {
    started(**host);
  }
  if (auto written = WritePortFile(parsed["port-file"].as<std::string>(),
                                   (*host)->address());
      !written) {
    std::cerr << name << ": " << written.error().message() << '\n';
    return 1;
  }
  std::cout << name << " ready on " << (*host)->address().ToString()
            << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace cardamomyard::standins
