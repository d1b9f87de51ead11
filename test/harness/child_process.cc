#include "harness/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "harness/wait_until.h"

namespace cardamomyard::harness {
namespace {

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string> MergedEnvironment(
    const std::map<std::string, std::string>& added) {
  std::vector<std::string> merged;
  for (char** item = environ; *item != nullptr; ++item) {
    const std::string text = *item;
    if (!added.contains(text.substr(0, text.find('=')))) {
      merged.push_back(text);
    }
  }
  for (const auto& [name, value] : added) {
    merged.push_back(name);
    merged.back().append("=").append(value);
  }
  return merged;
}

}  // namespace

result<std::unique_ptr<child_process>> child_process::Start(
    child_command command) {
  const char* folder = std::getenv("CARDAMOMYARD_BIN");
  if (folder == nullptr) {
    return Fail(error_kind::invalid_request,
                "CARDAMOMYARD_BIN must name the folder of the programs");
  }
  const std::string path = std::string(folder) + "/" + command.program;
  std::vector<std::string> arguments{path};
  arguments.insert(arguments.end(), command.arguments.begin(),
                   command.arguments.end());
  std::vector<std::string> environment = MergedEnvironment(command.environment);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null",
                                   O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   command.log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  const int failure =
      posix_spawn(&pid, path.c_str(), &actions, nullptr,
                  Pointers(arguments).data(), Pointers(environment).data());
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    return Fail(error_kind::internal,
                "cannot start " + path + ": " + std::strerror(failure));
  }
  return std::unique_ptr<child_process>(
      new child_process(std::move(command), pid));
}

child_process::child_process(child_command command, pid_t pid)
    : command_(std::move(command)), pid_(pid) {}

child_process::~child_process() {
  Kill();
}

void child_process::Signal(int number) {
  if (Running()) {
    ::kill(pid_, number);
  }
}

bool child_process::Running() {
  if (status_) {
    return false;
  }
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) {
    return true;
  }
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

std::optional<int> child_process::WaitForExit(std::chrono::milliseconds limit) {
  WaitUntil([this] { return !Running(); }, limit);
  return status_;
}

void child_process::Kill() {
  Signal(SIGKILL);
  // A killed process ends also when it is stopped.
  WaitUntil([this] { return !Running(); }, std::chrono::seconds(30));
}

result<std::map<std::string, host_address>> WaitForPortFile(
    child_process& process,
    const std::string& path,
    std::chrono::milliseconds limit) {
  const auto exists = [&path] { return ::access(path.c_str(), R_OK) == 0; };
  WaitUntil([&] { return exists() || !process.Running(); }, limit);
  if (!exists()) {
    return Fail(error_kind::timeout, process.command().program +
                                         " did not become ready, see " +
                                         process.command().log_file);
  }
  std::map<std::string, host_address> addresses;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    // "name ip:port" from cardamomyard, "ip:port" from a stand-in.
    const std::size_t space = line.find(' ');
    const std::string name =
        space == std::string::npos ? "" : line.substr(0, space);
    result<host_address> address = host_address::Parse(
        space == std::string::npos ? line : line.substr(space + 1));
    if (!address) {
      return Fail(address.error());
    }
    addresses.insert_or_assign(name, *address);
  }
  return addresses;
}

}  // namespace cardamomyard::harness
