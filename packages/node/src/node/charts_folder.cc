#include "src/node/charts_folder.h"

#include <filesystem>
#include <system_error>

namespace cardamomyard {
namespace fs = std::filesystem;

std::string DefaultChartsFolder() {
  std::error_code code;
  const fs::path program = fs::read_symlink("/proc/self/exe", code);
  const fs::path installed =
      program.parent_path().parent_path() / "share" / "cardamomyard" / "charts";
  if (!code && fs::is_directory(installed, code)) {
    return installed.string();
  }
  return "charts";
}

}  // namespace cardamomyard
