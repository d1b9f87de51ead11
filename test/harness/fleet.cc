#include "harness/fleet.h"

#include <signal.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <utility>

#include "cardamomyard/keys.h"
#include "harness/ports.h"
#include "harness/wait_until.h"

namespace cardamomyard::harness {
namespace json = boost::json;
namespace {

constexpr std::size_t kSecretBytes = 16;

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "cardamomyard-XXXXXX").string();
  return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

std::string Join(const std::vector<host_address>& addresses) {
  std::string joined;
  for (const host_address& address : addresses) {
    joined += (joined.empty() ? "" : ",") + address.ToString();
  }
  return joined;
}

void Append(std::vector<std::string>& to,
            const std::vector<std::string>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

std::string DefaultConfiguration(const std::vector<backend_group>& groups) {
  std::string text = "[balance]\nbatch_weight = 0.5\n";
  for (const char* account : {"acme", "zenith"}) {
    text += std::string("[account.") + account +
            "]\nrate_per_second = 1000.0\nburst = 1000\nweight = 1.0\n"
            "models = []\n";
  }
  for (const backend_group& group : groups) {
    const std::string& name = group.deployment;
    if (!group.service) {
      text += "[model." + name +
              "]\ncontext_tokens = 8192\nversions = [\"1\"]\nadapters = []\n"
              "engine_checks_fencing = true\n";
      continue;
    }
    text += "[service." + name + "]\ntimeout_ms = 30000\n";
    const auto route = [&text, &name](const std::string& ending,
                                      const std::string& settings) {
      const std::string route_name = name + ending;
      text.append("[route.").append(route_name);
      text.append("]\npath_prefix = \"/").append(route_name);
      text.append("\"\nservice = \"").append(name).append("\"\n");
      text.append(settings);
    };
    route("", "repeatable = false\nopen = false\n");
    route("-repeatable", "repeatable = true\nopen = false\n");
    route("-open",
          "repeatable = true\nopen = true\nopen_rate_per_second = 1000.0\n"
          "open_burst = 1000\n");
  }
  return text;
}

fleet::fleet(fleet_options options)
    : options_(std::move(options)),
      folder_(MakeFolder()),
      secret_(RandomHex(kSecretBytes)),
      admin_token_(RandomHex(kSecretBytes)) {}

result<std::unique_ptr<fleet>> fleet::Start(fleet_options options) {
  std::unique_ptr<fleet> created(new fleet(std::move(options)));
  if (result<void> started = created->StartAll(); !started) {
    created->set_keep_folder(true);
    return Fail(started.error());
  }
  return created;
}

fleet::~fleet() {
  // Members end before the folder with their logs is removed.
  entries_.clear();
  sidecars_.clear();
  backends_.clear();
  relays_.clear();
  weights_.reset();
  hosts_.reset();
  store_.reset();
  if (!keep_folder_ && !folder_.empty() &&
      std::getenv("CARDAMOMYARD_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

result<void> fleet::StartAll() {
  auto store = StartStandin("standin_store", "store", options_.store_flags);
  if (!store) {
    return Fail(store.error());
  }
  store_ = std::move(*store);
  auto hosts = StartStandin("standin_hosts", "hosts", {});
  if (!hosts) {
    return Fail(hosts.error());
  }
  hosts_ = std::move(*hosts);
  if (options_.weight_store) {
    auto weights = StartStandin("standin_weights", "weights", {});
    if (!weights) {
      return Fail(weights.error());
    }
    weights_ = std::move(*weights);
  }
  const bool configured = options_.configuration != "none";
  if (configured) {
    if (result<void> written = WriteFirstConfiguration(); !written) {
      return written;
    }
  }
  if (result<void> started = StartEntries(); !started) {
    return started;
  }
  for (const backend_group& group : options_.groups) {
    if (result<void> started = StartGroup(group); !started) {
      return started;
    }
  }
  if (configured && !WaitUntilReady()) {
    return Fail(error_kind::timeout,
                "the fleet did not become ready, see " + folder_);
  }
  return {};
}

result<void> fleet::Launch(fleet_member& member) {
  std::error_code ignored;
  std::filesystem::remove(member.port_file, ignored);
  auto process = child_process::Start(member.command);
  if (!process) {
    return Fail(process.error());
  }
  member.process = std::move(*process);
  const auto addresses = WaitForPortFile(*member.process, member.port_file);
  if (!addresses) {
    return Fail(addresses.error());
  }
  for (const auto& [name, address] : *addresses) {
    (name == "internal" ? member.internal : member.address) = address;
  }
  return {};
}

result<std::unique_ptr<fleet_member>> fleet::StartStandin(
    const std::string& program,
    const std::string& id,
    const std::vector<std::string>& arguments) {
  const result<host_address> address = ReserveAddress();
  if (!address) {
    return Fail(address.error());
  }
  auto member = std::make_unique<fleet_member>();
  member->id = id;
  member->port_file = folder_ + "/" + id + ".port";
  member->command.program = program;
  member->command.log_file = folder_ + "/" + id + ".log";
  member->command.arguments = {"--listen", address->ToString(), "--port-file",
                               member->port_file};
  Append(member->command.arguments, arguments);
  if (result<void> launched = Launch(*member); !launched) {
    return Fail(launched.error());
  }
  return member;
}

result<std::unique_ptr<fleet_member>> fleet::MakeNode(
    const std::string& role,
    const std::string& id,
    const std::vector<std::string>& arguments) {
  auto member = std::make_unique<fleet_member>();
  member->id = id;
  member->zone = NextZone();
  member->port_file = folder_ + "/" + id + ".port";
  member->command.program = "cardamomyard";
  member->command.log_file = folder_ + "/" + id + ".log";
  member->command.arguments = {
      "--role", role,         "--id",        id,
      "--zone", member->zone, "--port-file", member->port_file};
  Append(member->command.arguments, arguments);
  // Flags would show the secrets in the process list.
  member->command.environment = {{"CARDAMOMYARD_SECRET", secret_},
                                 {"CARDAMOMYARD_ADMIN_TOKEN", admin_token_}};
  return member;
}

result<host_address> fleet::AddRelay(const host_address& target) {
  const std::string id = "relay-" + std::to_string(relays_.size());
  const std::string control_file = folder_ + "/" + id + ".control";
  auto relay = StartStandin(
      "standin_relay", id,
      {"--target", target.ToString(), "--control-port-file", control_file});
  if (!relay) {
    return Fail(relay.error());
  }
  const auto control = WaitForPortFile(*(*relay)->process, control_file);
  if (!control) {
    return Fail(control.error());
  }
  const host_address address = (*relay)->address;
  relays_.push_back({std::move(*relay), control->at("")});
  return address;
}

result<void> fleet::StartEntries() {
  const auto count = static_cast<std::size_t>(options_.entry_hosts);
  std::vector<host_address> listening;
  for (std::size_t i = 0; i < count; ++i) {
    const result<host_address> address = ReserveAddress();
    if (!address) {
      return Fail(address.error());
    }
    listening.push_back(*address);
    // Entry hosts learn each other's addresses, so all of them are reached
    // through relays when one must be separable.
    const result<host_address> reached =
        options_.separable_entry ? AddRelay(*address) : *address;
    if (!reached) {
      return Fail(reached.error());
    }
    sidecar_peers_.push_back(options_.separable_entry == i ? *reached
                                                           : *address);
    entry_addresses_.push_back(*reached);
  }
  for (std::size_t i = 0; i < count; ++i) {
    const bool separable = options_.separable_entry == i;
    std::vector<host_address> links{store_->address, hosts_->address};
    for (std::size_t j = 0; j < count; ++j) {
      if (j != i) {
        links.push_back(entry_addresses_[j]);
      }
    }
    for (std::size_t k = 0; k < 2; ++k) {
      host_address& link = links[k];
      const result<host_address> reached = separable ? AddRelay(link) : link;
      if (!reached) {
        return Fail(reached.error());
      }
      link = *reached;
    }
    const result<host_address> callers = ReserveAddress();
    if (!callers) {
      return Fail(callers.error());
    }
    std::vector<std::string> arguments{
        "--listen",          callers->ToString(),
        "--internal-listen", listening[i].ToString(),
        "--advertise",       entry_addresses_[i].ToString(),
        "--store",           links[0].ToString(),
        "--host-list",       links[1].ToString(),
        "--drain-notice-ms", "200"};
    if (links.size() > 2) {
      Append(arguments, {"--peers", Join({links.begin() + 2, links.end()})});
    }
    Append(arguments, options_.entry_flags);
    auto member = MakeNode("entry", "entry-" + std::to_string(i), arguments);
    if (!member) {
      return Fail(member.error());
    }
    if (result<void> launched = Launch(**member); !launched) {
      return launched;
    }
    // The host list must not name a way around the relays.
    List(**member, entry_addresses_[i], "entry", "");
    entries_.push_back(std::move(*member));
  }
  return {};
}

result<void> fleet::StartGroup(const backend_group& group) {
  for (int i = 0; i < group.count; ++i) {
    const std::string name = group.deployment + "-" + std::to_string(i);
    auto backend =
        StartStandin(group.service ? "standin_service" : "standin_engine",
                     "backend-" + name, group.backend_flags);
    if (!backend) {
      return Fail(backend.error());
    }
    const result<host_address> internal = ReserveAddress();
    if (!internal) {
      return Fail(internal.error());
    }
    std::vector<std::string> arguments{
        "--deployment",      group.deployment,
        "--backend-kind",    group.service ? "service" : "engine",
        "--backend",         (*backend)->address.ToString(),
        "--internal-listen", internal->ToString(),
        "--store",           store_->address.ToString(),
        "--host-list",       hosts_->address.ToString(),
        "--peers",           Join(sidecar_peers_)};
    Append(arguments, group.sidecar_flags);
    auto sidecar = MakeNode("sidecar", "sidecar-" + name, arguments);
    if (!sidecar) {
      return Fail(sidecar.error());
    }
    // Listed first, so that the entry hosts don't take it for a removed host.
    (*sidecar)->internal = *internal;
    List(**sidecar, *internal, "sidecar", group.deployment);
    if (result<void> launched = Launch(**sidecar); !launched) {
      return launched;
    }
    backends_[group.deployment].push_back(std::move(*backend));
    sidecars_[group.deployment].push_back(std::move(*sidecar));
  }
  return {};
}

void fleet::List(const fleet_member& member,
                 const host_address& address,
                 const std::string& role,
                 const std::string& deployment) {
  listed_[member.id] = {address.ToString(), member.zone, role, deployment};
  SetLeaving(member, false);
}

void fleet::SetLeaving(const fleet_member& member, bool leaving) {
  const host_list_entry& listed = listed_.at(member.id);
  const json::object body{{"address", listed.address},
                          {"zone", listed.zone},
                          {"role", listed.role},
                          {"deployment", listed.deployment},
                          {"state", leaving ? "leaving" : "live"}};
  http_.Call(hosts_->address, JsonRequest("PUT", "/v1/hosts/" + member.id,
                                          json::serialize(body)));
}

result<void> fleet::Restart(fleet_member& member) {
  member.process.reset();
  return Launch(member);
}

void fleet::Control(const fleet_member& member, const std::string& body) {
  http_.Call(member.address, JsonRequest("POST", "/control", body));
}

void fleet::CutOff(bool cut) {
  for (const relay_link& link : relays_) {
    http_.Call(link.control,
               JsonRequest("POST", "/control",
                           cut ? R"({"cut":"both"})" : R"({"cut":"none"})"));
  }
}

result<void> fleet::WriteFirstConfiguration() {
  const std::string text = options_.configuration.empty()
                               ? DefaultConfiguration(options_.groups)
                               : options_.configuration;
  const auto parsed = ParseFolder({{"fleet.toml", text}});
  if (!parsed) {
    return Fail(error_kind::invalid_request, parsed.error().front().ToString());
  }
  configuration content = *parsed;
  for (const account_config* account : parsed->All<account_config>()) {
    const new_key created = CreateKey(account->name + "-1");
    result<configuration> with_key = PutApiEntity(
        content, key_config{created.id, account->name, created.sha256, false});
    if (!with_key) {
      return Fail(with_key.error());
    }
    content = std::move(*with_key);
    keys_[account->name] = created.text;
  }
  const auto written = WriteConfiguration(http_, store_->address, {}, content,
                                          "first configuration");
  if (!written) {
    return Fail(written.error());
  }
  return {};
}

result<std::uint64_t> fleet::Change(
    const std::function<result<configuration>(const configuration&)>& edit,
    const std::string& summary) {
  const auto current = ReadConfiguration(http_, store_->address);
  if (!current) {
    return Fail(current.error());
  }
  const result<configuration> next = edit(current->content);
  if (!next) {
    return Fail(next.error());
  }
  return WriteConfiguration(http_, store_->address, *current, *next, summary);
}

result<std::uint64_t> fleet::WithdrawKeyOf(const std::string& account) {
  return Change(
      [&account](const configuration& current) {
        return WithdrawKey(current, account + "-1");
      },
      "withdraw the key of " + account);
}

double fleet::Stat(const fleet_member& member,
                   const std::vector<std::string>& path) {
  const http_response answer =
      http_.Call(member.address, JsonRequest("GET", "/control/stats"));
  boost::system::error_code code;
  const json::value body = json::parse(answer.body, code);
  if (answer.status != 200 || code) {
    return -1;
  }
  const json::value* found = &body;
  for (const std::string& name : path) {
    found = found->is_object() ? found->as_object().if_contains(name) : nullptr;
    if (found == nullptr) {
      return 0;
    }
  }
  return found->is_number() ? found->to_number<double>() : 0;
}

double fleet::Metric(std::size_t entry_index,
                     const std::string& name_and_labels) {
  const http_response answer =
      http_.Call(entry(entry_index).address, JsonRequest("GET", "/metrics"));
  const std::string line = name_and_labels + " ";
  const std::string text = "\n" + answer.body;
  const std::size_t at = text.find("\n" + line);
  return answer.status != 200 || at == std::string::npos
             ? -1
             : std::atof(text.c_str() + at + 1 + line.size());
}

bool fleet::WaitUntilReady(std::chrono::milliseconds limit) {
  return WaitUntil(
      [this] {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
          const http_response ready =
              http_.Call(entry(i).address, JsonRequest("GET", "/readyz"));
          if (ready.status != 200) {
            return false;
          }
          for (const auto& [deployment, members] : sidecars_) {
            if (Metric(i, "cardamomyard_backends_usable{deployment=\"" +
                              deployment + "\"}") <
                static_cast<double>(members.size())) {
              return false;
            }
          }
        }
        return true;
      },
      limit);
}

std::vector<std::string> fleet::StopAll(std::chrono::milliseconds limit) {
  std::vector<std::string> failed;
  const auto stop = [&failed, limit](fleet_member* member) {
    if (member == nullptr || member->process == nullptr) {
      return;
    }
    member->process->Signal(SIGTERM);
    if (member->process->WaitForExit(limit) != 0) {
      failed.push_back(member->id);
    }
  };
  for (const auto& member : entries_) {
    stop(member.get());
  }
  for (auto* groups : {&sidecars_, &backends_}) {
    for (const auto& [deployment, members] : *groups) {
      for (const auto& member : members) {
        stop(member.get());
      }
    }
  }
  for (const relay_link& link : relays_) {
    stop(link.relay.get());
  }
  stop(weights_.get());
  stop(hosts_.get());
  stop(store_.get());
  return failed;
}

std::string fleet::NextZone() {
  return options_.zones[next_zone_++ % options_.zones.size()];
}

}  // namespace cardamomyard::harness
