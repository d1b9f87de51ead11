#include "src/node/settings.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <utility>

#include "src/node/charts_folder.h"

namespace cardamomyard {
namespace {

constexpr const char* kVersion = "0.1.0";

enum class flag_role { any, entry, sidecar };

struct flag_spec {
  const char* name;
  const char* default_value;
  const char* help;
  flag_role role;
};

constexpr flag_spec kFlags[] = {
    {"role", "", "entry or sidecar (required)", flag_role::any},
    {"id", "", "unique name of this process (required)", flag_role::any},
    {"zone", "", "availability zone of this host (required)", flag_role::any},
    {"internal-listen", "127.0.0.1:0",
     "IP:PORT to listen on for other processes of the system", flag_role::any},
    {"advertise", "", "IP:PORT at which other processes reach internal-listen",
     flag_role::any},
    {"port-file", "",
     "file to which the bound addresses are written when ready",
     flag_role::any},
    {"threads", "2", "traffic threads, 1 to 64", flag_role::any},
    {"store", "", "IP:PORT of the object API (required)", flag_role::any},
    {"host-list", "", "IP:PORT of the host list", flag_role::any},
    {"peers", "", "internal IP:PORT of entry hosts, separated by commas",
     flag_role::any},
    {"secret-file", "", "file with the shared secret, at least 16 bytes",
     flag_role::any},
    {"charts", "", "folder of the state charts, which are checked at start",
     flag_role::any},
    {"trace-file", "", "file for spans as OTLP JSON lines", flag_role::any},
    {"log-level", "info", "debug, info, warning or error", flag_role::any},
    {"log-format", "text", "text or json", flag_role::any},
    {"internal-tls-cert", "", "PEM certificate for internal connections",
     flag_role::any},
    {"internal-tls-key", "", "PEM key for internal connections",
     flag_role::any},
    {"internal-tls-ca", "", "PEM CA file that verifies internal certificates",
     flag_role::any},
    {"contact-window-ms", "5000",
     "how long evidence of contact stays valid, 500 to 60000", flag_role::any},
    {"drain-timeout-ms", "60000",
     "maximum wait for running requests at a planned stop", flag_role::any},
    {"memory-mb", "0",
     "memory for this process in MB, which bounds what clients make it hold; 0 "
     "takes the machine's",
     flag_role::any},
    {"max-descriptors", "0",
     "descriptors for this process, which bound its connections; 0 takes its "
     "limit",
     flag_role::any},
    {"policy", "adaptive",
     "adaptive, or naive: the baseline of measurements, not for production",
     flag_role::any},
    {"listen", "127.0.0.1:0", "IP:PORT to listen on for callers and operators",
     flag_role::entry},
    {"tls-cert", "", "PEM certificate for callers", flag_role::entry},
    {"tls-key", "", "PEM key for callers", flag_role::entry},
    {"admin-token-file", "", "file with the token of the administration API",
     flag_role::entry},
    {"drain-notice-ms", "3000",
     "time from failing /readyz to refusing connections", flag_role::entry},
    {"deployment", "",
     "model or service that the backend server runs "
     "(required)",
     flag_role::sidecar},
    {"backend-kind", "engine", "engine or service", flag_role::sidecar},
    {"backend", "", "IP:PORT of the backend server (required)",
     flag_role::sidecar},
    {"slots", "32",
     "initial capacity of an engine, or concurrency limit of a service",
     flag_role::sidecar},
    {"run-batch", "true", "whether this sidecar works on batch jobs",
     flag_role::sidecar},
};

std::string EnvironmentName(std::string_view flag) {
  std::string name = "CARDAMOMYARD_";
  for (const char c : flag) {
    name.push_back(c == '-' ? '_'
                            : static_cast<char>(
                                  std::toupper(static_cast<unsigned char>(c))));
  }
  return name;
}

/// Reads typed values by flag name and keeps the first error.
class flag_reader {
 public:
  explicit flag_reader(std::map<std::string, std::string> values)
      : values_(std::move(values)) {}

  const std::optional<error>& failure() const { return failure_; }

  std::string Text(const std::string& flag) const { return values_.at(flag); }

  std::string Required(const std::string& flag) {
    std::string value = Text(flag);
    if (value.empty()) {
      Reject(flag, "is required");
    }
    return value;
  }

  std::optional<host_address> OptionalAddress(const std::string& flag) {
    const std::string value = Text(flag);
    if (value.empty()) {
      return std::nullopt;
    }
    return Address(flag);
  }

  host_address Address(const std::string& flag) {
    result<host_address> parsed = host_address::Parse(Required(flag));
    if (!parsed) {
      Reject(flag, "expects IP:PORT, got \"" + Text(flag) + "\"");
      return host_address::Make("127.0.0.1", 0);
    }
    return *parsed;
  }

  std::vector<host_address> Addresses(const std::string& flag) {
    std::vector<host_address> all;
    std::istringstream items(Text(flag));
    for (std::string item; std::getline(items, item, ',');) {
      result<host_address> parsed = host_address::Parse(item);
      if (!parsed) {
        Reject(flag, "expects IP:PORT,..., got \"" + item + "\"");
        return all;
      }
      all.push_back(*parsed);
    }
    return all;
  }

  long Number(const std::string& flag, long low, long high) {
    const std::string value = Text(flag);
    long number = 0;
    const auto [end, status] =
        std::from_chars(value.data(), value.data() + value.size(), number);
    if (status != std::errc() || end != value.data() + value.size() ||
        number < low || number > high) {
      Reject(flag, "expects a whole number from " + std::to_string(low) +
                       " to " + std::to_string(high) + ", got \"" + value +
                       "\"");
    }
    return number;
  }

  std::chrono::milliseconds Milliseconds(const std::string& flag,
                                         long low,
                                         long high) {
    return std::chrono::milliseconds(Number(flag, low, high));
  }

  template <class T>
  T OneOf(const std::string& flag, const std::map<std::string, T>& choices) {
    const auto found = choices.find(Text(flag));
    if (found != choices.end()) {
      return found->second;
    }
    std::string names;
    for (const auto& [name, value] : choices) {
      names += (names.empty() ? "" : ", ") + name;
    }
    Reject(flag, "expects one of " + names + ", got \"" + Text(flag) + "\"");
    return choices.begin()->second;
  }

  /// Reads a secret from the file that \p flag names or, if the flag is not
  /// set, from the environment variable named after \p flag without "-file".
  std::string Secret(const std::string& flag, std::size_t min_bytes) {
    std::string secret;
    const std::string variable =
        EnvironmentName(flag.substr(0, flag.size() - 5));
    if (!Text(flag).empty()) {
      std::ifstream file(Text(flag));
      if (!file) {
        Reject(flag, "names a file that cannot be read: " + Text(flag));
        return secret;
      }
      std::getline(file, secret);
    } else if (const char* value = std::getenv(variable.c_str())) {
      secret = value;
    }
    if (secret.size() < min_bytes) {
      Reject(flag, "or " + variable + " must provide at least " +
                       std::to_string(min_bytes) + " bytes");
    }
    return secret;
  }

  std::optional<tls_files> Tls(const std::string& prefix, bool with_ca) {
    const std::string certificate = Text(prefix + "tls-cert");
    const std::string key = Text(prefix + "tls-key");
    const std::string ca = with_ca ? Text(prefix + "tls-ca") : "";
    if (certificate.empty() && key.empty() && ca.empty()) {
      return std::nullopt;
    }
    if (certificate.empty() || key.empty() || (with_ca && ca.empty())) {
      Reject(prefix + "tls-cert",
             "requires a certificate and a key" +
                 std::string(with_ca ? " and a CA file" : ""));
    }
    return tls_files{certificate, key, ca};
  }

  void Reject(const std::string& flag, const std::string& reason) {
    if (!failure_) {
      failure_ =
          error::Make(error_kind::invalid_request, "--" + flag + " " + reason);
    }
  }

 private:
  std::map<std::string, std::string> values_;
  std::optional<error> failure_;
};

common_settings ReadCommon(flag_reader& flags) {
  common_settings common;
  common.id = flags.Required("id");
  common.zone = flags.Required("zone");
  common.internal_listen = flags.Address("internal-listen");
  common.advertise = flags.OptionalAddress("advertise");
  common.port_file = flags.Text("port-file");
  common.threads = static_cast<std::size_t>(flags.Number("threads", 1, 64));
  common.store = flags.Address("store");
  common.host_list = flags.OptionalAddress("host-list");
  common.peers = flags.Addresses("peers");
  common.secret = flags.Secret("secret-file", 16);
  common.charts_folder = flags.Text("charts");
  if (common.charts_folder.empty()) {
    common.charts_folder = DefaultChartsFolder();
  }
  common.trace_file = flags.Text("trace-file");
  common.level =
      flags.OneOf<log_level>("log-level", {{"debug", log_level::debug},
                                           {"info", log_level::info},
                                           {"warning", log_level::warning},
                                           {"error", log_level::error}});
  common.format = flags.OneOf<log_format>(
      "log-format", {{"text", log_format::text}, {"json", log_format::json}});
  common.policy = flags.OneOf<policy_kind>(
      "policy",
      {{"adaptive", policy_kind::adaptive}, {"naive", policy_kind::naive}});
  common.internal_tls = flags.Tls("internal-", true);
  common.contact_window = flags.Milliseconds("contact-window-ms", 500, 60'000);
  common.drain_timeout = flags.Milliseconds("drain-timeout-ms", 0, 3'600'000);
  common.machine.memory_bytes =
      static_cast<std::size_t>(flags.Number("memory-mb", 0, 16'777'216)) << 20U;
  common.machine.descriptors =
      static_cast<std::size_t>(flags.Number("max-descriptors", 0, 16'777'216));
  return common;
}

entry_settings ReadEntry(flag_reader& flags) {
  entry_settings settings;
  settings.common = ReadCommon(flags);
  settings.listen = flags.Address("listen");
  settings.tls = flags.Tls("", false);
  settings.admin_token = flags.Secret("admin-token-file", 16);
  settings.drain_notice = flags.Milliseconds("drain-notice-ms", 0, 600'000);
  return settings;
}

sidecar_settings ReadSidecar(flag_reader& flags) {
  sidecar_settings settings;
  settings.common = ReadCommon(flags);
  settings.deployment = flags.Required("deployment");
  settings.kind = flags.OneOf<backend_kind>(
      "backend-kind",
      {{"engine", backend_kind::engine}, {"service", backend_kind::service}});
  settings.backend = flags.Address("backend");
  settings.slots = static_cast<int>(flags.Number("slots", 1, 4096));
  settings.run_batch =
      flags.OneOf<bool>("run-batch", {{"true", true}, {"false", false}});
  return settings;
}

cxxopts::Options DescribeFlags() {
  cxxopts::Options options(
      "cardamomyard",
      "Serves online requests and batch jobs. Each flag can also be given as "
      "an environment variable: --log-level is CARDAMOMYARD_LOG_LEVEL.");
  const std::map<flag_role, std::string> groups{
      {flag_role::any, "All roles"},
      {flag_role::entry, "Role entry"},
      {flag_role::sidecar, "Role sidecar"}};
  for (const flag_spec& flag : kFlags) {
    options.add_options(groups.at(flag.role))(
        flag.name, flag.help,
        cxxopts::value<std::string>()->default_value(flag.default_value));
  }
  options.add_options("Other")("help", "print this text")(
      "version", "print the version")("check", "check the settings and exit");
  return options;
}

std::map<std::string, std::string> CollectValues(
    const cxxopts::ParseResult& parsed) {
  std::map<std::string, std::string> values;
  for (const flag_spec& flag : kFlags) {
    values[flag.name] = parsed[flag.name].as<std::string>();
    const char* variable = std::getenv(EnvironmentName(flag.name).c_str());
    if (parsed.count(flag.name) == 0 && variable != nullptr) {
      values[flag.name] = variable;
    }
  }
  return values;
}

/// Rejects flags that do not apply to the chosen role.
void CheckRoleFlags(flag_reader& flags,
                    const cxxopts::ParseResult& parsed,
                    flag_role role) {
  for (const flag_spec& flag : kFlags) {
    if (parsed.count(flag.name) > 0 && flag.role != flag_role::any &&
        flag.role != role) {
      flags.Reject(flag.name, "does not apply to this role");
    }
  }
}

}  // namespace

result<command_line> ParseCommandLine(int argc, const char* const* argv) {
  cxxopts::Options options = DescribeFlags();
  command_line command;
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      command.text = options.help();
      return command;
    }
    if (parsed.count("version") > 0) {
      command.text = std::string("cardamomyard ") + kVersion + "\n";
      return command;
    }
    if (!parsed.unmatched().empty()) {
      return Fail(error_kind::invalid_request,
                  "unexpected argument \"" + parsed.unmatched().front() + "\"");
    }
    command.check_only = parsed.count("check") > 0;
    flag_reader flags(CollectValues(parsed));
    const auto role = flags.OneOf<flag_role>(
        "role", {{"entry", flag_role::entry}, {"sidecar", flag_role::sidecar}});
    CheckRoleFlags(flags, parsed, role);
    if (role == flag_role::entry) {
      command.settings = ReadEntry(flags);
    } else {
      command.settings = ReadSidecar(flags);
    }
    if (flags.failure()) {
      return Fail(*flags.failure());
    }
  } catch (const cxxopts::exceptions::exception& failure) {
    return Fail(error_kind::invalid_request, failure.what());
  }
  return command;
}

}  // namespace cardamomyard
