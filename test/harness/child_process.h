#ifndef CARDAMOMYARD_TEST_HARNESS_CHILD_PROCESS_H_
#define CARDAMOMYARD_TEST_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"

namespace cardamomyard::harness {

/// \brief What to start.
struct child_command {
  std::string program;  ///< Name in the folder CARDAMOMYARD_BIN.
  std::vector<std::string> arguments;
  std::map<std::string, std::string> environment;  ///< Added to the own one.
  std::string log_file;                            ///< Output is appended here.
};

/// \brief A started program. The destructor ends it and collects its status.
class child_process {
 public:
  static result<std::unique_ptr<child_process>> Start(child_command command);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  pid_t pid() const { return pid_; }
  const child_command& command() const { return command_; }

  /// Sends a signal to this process, unless it has ended already.
  void Signal(int number);
  bool Running();
  /// \returns the exit status, or minus the number of the signal that ended the
  /// process; nothing when it still runs after \p limit.
  std::optional<int> WaitForExit(std::chrono::milliseconds limit);
  /// Kills the process and collects its status.
  void Kill();

 private:
  child_process(child_command command, pid_t pid);

  child_command command_;
  pid_t pid_;
  std::optional<int> status_;
};

/// \brief Waits for the file in which \p process writes its bound addresses.
/// \returns addresses by name; the only address of a stand-in has the name "".
result<std::map<std::string, host_address>> WaitForPortFile(
    child_process& process,
    const std::string& path,
    std::chrono::milliseconds limit = std::chrono::seconds(20));

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_CHILD_PROCESS_H_
