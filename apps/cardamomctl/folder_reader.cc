#include "cardamomctl/folder_reader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace cardamomyard::ctl {
namespace fs = std::filesystem;
namespace {

constexpr int kMaxReadings = 25;

result<std::vector<fs::path>> ListFiles(const std::string& folder) {
  std::error_code code;
  std::vector<fs::path> paths;
  for (fs::directory_iterator at(folder, code), end; !code && at != end;
       at.increment(code)) {
    if (at->path().extension() == ".toml") {
      paths.push_back(at->path());
    }
  }
  if (code) {
    return Fail(error_kind::not_found, folder + ": " + code.message());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

}  // namespace

result<std::vector<config_file>> ReadFolder(const std::string& folder) {
  const auto paths = ListFiles(folder);
  if (!paths) {
    return Fail(paths.error());
  }
  // An empty folder would remove every entity; a mistyped path often names one.
  if (paths->empty()) {
    return Fail(error_kind::not_found, folder + ": no *.toml file");
  }
  std::vector<config_file> files;
  for (const fs::path& path : *paths) {
    std::ifstream in(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(in)), {});
    if (!in) {
      return Fail(error_kind::not_found, path.string() + ": cannot be read");
    }
    files.push_back({path.filename().string(), std::move(text)});
  }
  return files;
}

result<std::vector<config_file>> ReadStableFolder(
    const std::string& folder,
    std::chrono::milliseconds pause) {
  auto last = ReadFolder(folder);
  for (int readings = 1; last && readings < kMaxReadings; ++readings) {
    std::this_thread::sleep_for(pause);
    auto next = ReadFolder(folder);
    if (next && *next == *last) {
      return next;
    }
    last = std::move(next);
  }
  if (!last) {
    return last;
  }
  return Fail(error_kind::conflict, folder + ": the files keep changing");
}

std::string FolderStamp(const std::string& folder) {
  std::string stamp;
  const auto paths = ListFiles(folder);
  if (!paths) {
    return paths.error().message();
  }
  for (const fs::path& path : *paths) {
    std::error_code code;
    const auto size = fs::file_size(path, code);
    const auto time = fs::last_write_time(path, code);
    stamp += path.filename().string() + " " + std::to_string(size) + " " +
             std::to_string(time.time_since_epoch().count()) + "\n";
  }
  return stamp;
}

}  // namespace cardamomyard::ctl
