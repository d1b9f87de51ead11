#ifndef CARDAMOMYARD_NODE_SETTINGS_H_
#define CARDAMOMYARD_NODE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"
#include "cardamomyard/telemetry.h"

namespace cardamomyard {

enum class backend_kind { engine, service };

/// How requests are routed, admitted and limited. `naive` is the baseline of
/// measurements (docs/OPERATIONS.md): round robin, first come first served, and
/// a fixed split of each rate, which violates rule 3.
enum class policy_kind { adaptive, naive };

/// \brief Settings of every role.
struct common_settings {
  std::string id;
  std::string zone;
  host_address internal_listen = host_address::Make("127.0.0.1", 0);
  /// Address at which other processes reach this one; the bound address if
  /// unset.
  std::optional<host_address> advertise;
  std::string port_file;
  std::size_t threads = 2;
  host_address store = host_address::Make("127.0.0.1", 0);
  std::optional<host_address> host_list;
  /// Internal addresses of entry hosts that are known at start.
  std::vector<host_address> peers;
  std::string secret;
  std::string charts_folder;
  std::string trace_file;
  log_level level = log_level::info;
  log_format format = log_format::text;
  policy_kind policy = policy_kind::adaptive;
  std::optional<tls_files> internal_tls;
  /// How long evidence of contact stays valid (W of docs/design.md).
  std::chrono::milliseconds contact_window{5000};
  std::chrono::milliseconds drain_timeout{60'000};
  /// Zero takes what this machine has.
  machine_limits machine;
};

struct entry_settings {
  common_settings common;
  host_address listen = host_address::Make("127.0.0.1", 0);
  std::optional<tls_files> tls;
  std::string admin_token;
  /// Time from failing /readyz to refusing connections, so that the load
  /// balancer notices the failing readiness.
  std::chrono::milliseconds drain_notice{3000};
};

struct sidecar_settings {
  common_settings common;
  std::string deployment;
  backend_kind kind = backend_kind::engine;
  host_address backend = host_address::Make("127.0.0.1", 0);
  /// Initial estimate of an engine's capacity; the concurrency limit of a
  /// service.
  int slots = 32;
  bool run_batch = true;
};

using server_settings = std::variant<entry_settings, sidecar_settings>;

/// \brief The parsed command line.
struct command_line {
  std::optional<server_settings> settings;  ///< Empty for help and version.
  std::string text;                         ///< Text to print, if any.
  bool check_only = false;                  ///< Check the settings and exit.
};

/// \brief Reads the flags and the environment (`CARDAMOMYARD_<FLAG>`). A flag
/// takes precedence over the environment.
/// \returns an error that names the flag and the expected value.
result<command_line> ParseCommandLine(int argc, const char* const* argv);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SETTINGS_H_
