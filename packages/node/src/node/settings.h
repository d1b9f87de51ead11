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
/// measurements (docs/OPERATIONS.md) and breaks rule 3: round robin, first
/// come first served, a fixed split of each rate.
enum class policy_kind { adaptive, naive };

/// \brief Settings that every role has.
struct common_settings {
  std::string id;
  std::string zone;
  host_address internal_listen = host_address::Make("127.0.0.1", 0);
  /// Address that other processes use; the bound address when not set.
  std::optional<host_address> advertise;
  std::string port_file;
  std::size_t threads = 2;
  host_address store = host_address::Make("127.0.0.1", 0);
  std::optional<host_address> host_list;
  /// Internal addresses of entry hosts known at start.
  std::vector<host_address> peers;
  std::string secret;
  std::string charts_folder;
  std::string trace_file;
  log_level level = log_level::info;
  log_format format = log_format::text;
  policy_kind policy = policy_kind::adaptive;
  std::optional<tls_files> internal_tls;
  /// How long evidence of contact holds (W of docs/design.md).
  std::chrono::milliseconds contact_window{5000};
  std::chrono::milliseconds drain_timeout{60'000};
};

struct entry_settings {
  common_settings common;
  host_address listen = host_address::Make("127.0.0.1", 0);
  std::optional<tls_files> tls;
  std::string admin_token;
  /// Time between failing readiness and refusing connections, for the balancer.
  std::chrono::milliseconds drain_notice{3000};
};

struct sidecar_settings {
  common_settings common;
  std::string deployment;
  backend_kind kind = backend_kind::engine;
  host_address backend = host_address::Make("127.0.0.1", 0);
  /// First value of the learnt capacity, and the limit for plain services.
  int slots = 32;
  bool run_batch = true;
};

using server_settings = std::variant<entry_settings, sidecar_settings>;

/// \brief What the command line asks for.
struct command_line {
  std::optional<server_settings> settings;  ///< Empty for help and version.
  std::string text;                         ///< Text to print, if any.
  bool check_only = false;
};

/// \brief Reads flags and the environment (`CARDAMOMYARD_<FLAG>`); a flag goes
/// before the environment.
/// \returns an error that names the flag and the value expected.
result<command_line> ParseCommandLine(int argc, const char* const* argv);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SETTINGS_H_
