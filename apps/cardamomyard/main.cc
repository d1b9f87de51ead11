#include <iostream>

#include "cardamomyard/node.h"
#include "cardamomyard/platform.h"

int main(int argc, char** argv) {
  using namespace cardamomyard;
  const auto on_platform = ParsePlatformCommand(argc, argv);
  if (!on_platform) {
    std::cerr << "cardamomyard: " << on_platform.error().message() << "\n";
    return 2;
  }
  if (*on_platform) {
    const result<void> ended = RunOnPlatform(**on_platform);
    if (!ended) {
      std::cerr << "cardamomyard: " << ended.error().message() << "\n";
      return 1;
    }
    if ((*on_platform)->check_only) {
      std::cout << "The settings are valid.\n";
    }
    return 0;
  }
  const result<command_line> command = ParseCommandLine(argc, argv);
  if (!command) {
    std::cerr << "cardamomyard: " << command.error().message()
              << "\nTry --help.\n";
    return 2;
  }
  if (!command->settings) {
    std::cout << command->text;
    return 0;
  }
  if (command->check_only) {
    std::cout << "The settings are valid.\n";
    return 0;
  }
  const common_settings& common = std::visit(
      [](const auto& role) -> const common_settings& { return role.common; },
      *command->settings);
  ConfigureLogs(common.level, common.format);
  const result<void> ended = RunServer(*command->settings);
  if (!ended) {
    std::cerr << "cardamomyard: " << ended.error().message() << "\n";
    return 1;
  }
  return 0;
}
