#ifndef CARDAMOMYARD_STANDINS_COMMON_PROGRAM_H_
#define CARDAMOMYARD_STANDINS_COMMON_PROGRAM_H_

#include <cxxopts.hpp>
#include <functional>
#include <memory>
#include <string>

#include "common/service_host.h"

namespace cardamomyard::standins {

/// \returns options with `--listen`, `--port-file` and `--help`.
cxxopts::Options MakeOptions(const std::string& name,
                             const std::string& purpose);

/// Parses the command line; prints help or the error and exits when needed.
cxxopts::ParseResult ParseOptions(cxxopts::Options& options,
                                  int argc,
                                  char** argv);

/// Blocks SIGTERM and SIGINT; call it before threads start.
void BlockStopSignals();
/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

/// \returns the address of an option, or exits with a message.
host_address AddressOption(const cxxopts::ParseResult& parsed,
                           const std::string& name);

/// \brief Serves until SIGTERM. \returns the exit code.
/// \param started  called with the host before the program says it is ready.
int RunProgram(const std::string& name,
               const cxxopts::ParseResult& parsed,
               std::unique_ptr<service> served,
               const std::function<void(service_host&)>& started = {});

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_COMMON_PROGRAM_H_
