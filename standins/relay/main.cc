#include <iostream>

#include "common/port_file.h"
#include "common/program.h"
#include "relay/relay.h"
#include "relay/relay_control.h"

int main(int argc, char** argv) {
  using namespace cardamomyard;
  using namespace cardamomyard::standins;
  auto options = MakeOptions("standin_relay", "TCP relay with cuts");
  options.add_options()("target", "Address to forward to",
                        cxxopts::value<std::string>())(
      "control-listen", "Address of POST /control",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "control-port-file", "File that receives the address of POST /control",
      cxxopts::value<std::string>()->default_value(""));
  const auto parsed = ParseOptions(options, argc, argv);
  if (parsed.count("target") == 0) {
    std::cerr << "standin_relay: --target is required\n";
    return 2;
  }
  BlockStopSignals();
  auto control = std::make_unique<relay_control>();
  relay_control& controlled = *control;
  auto host = service_host::Create(std::move(control),
                                   AddressOption(parsed, "control-listen"));
  if (!host) {
    std::cerr << "standin_relay: " << host.error().message() << '\n';
    return 1;
  }
  auto created =
      relay::Create((*host)->context(), AddressOption(parsed, "listen"),
                    AddressOption(parsed, "target"));
  if (!created) {
    std::cerr << "standin_relay: " << created.error().message() << '\n';
    return 1;
  }
  const std::unique_ptr<relay> forwarding = std::move(*created);
  controlled.set_relay(forwarding.get());
  const auto control_written = WritePortFile(
      parsed["control-port-file"].as<std::string>(), (*host)->address());
  const auto written = WritePortFile(parsed["port-file"].as<std::string>(),
                                     forwarding->address());
  if (!control_written || !written) {
    std::cerr << "standin_relay: cannot write the port file\n";
    return 1;
  }
  std::cout << "standin_relay ready on " << forwarding->address().ToString()
            << ", control on " << (*host)->address().ToString() << std::endl;
  WaitForStopSignal();
  // The relay is destroyed before its context, when no thread uses it.
  (*host)->Stop();
  return 0;
}
