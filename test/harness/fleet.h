#ifndef CARDAMOMYARD_TEST_HARNESS_FLEET_H_
#define CARDAMOMYARD_TEST_HARNESS_FLEET_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harness/child_process.h"
#include "harness/config_writer.h"
#include "harness/test_client.h"

namespace cardamomyard::harness {

/// \brief Backend servers of one model or service, each with its sidecar.
struct backend_group {
  std::string deployment;
  bool service = false;
  int count = 1;
  std::vector<std::string> backend_flags;
  std::vector<std::string> sidecar_flags;
};

struct fleet_options {
  // Initializers let designated initializers leave members out.
  int entry_hosts = 2;
  std::vector<backend_group> groups{};
  /// Text of one configuration file; \sa DefaultConfiguration. "none" writes no
  /// configuration, so that a test does it, and doesn't wait for readiness.
  std::string configuration{};
  /// Zones given to the processes in turn.
  std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
  std::vector<std::string> store_flags{};
  std::vector<std::string> entry_flags{};
  /// Puts relays on every link of this entry host, so that \sa CutOff can
  /// separate it alone.
  std::optional<std::size_t> separable_entry{};
  bool weight_store = false;
};

/// \brief A configuration with every group of \p groups, the accounts `acme`
/// and `zenith`, and for each service S the routes /S, /S-repeatable and
/// /S-open.
std::string DefaultConfiguration(const std::vector<backend_group>& groups);

/// \brief One process of the fleet; it can be started again on its address.
struct fleet_member {
  std::string id;
  std::string zone;
  child_command command;
  std::string port_file;
  std::unique_ptr<child_process> process;
  /// Where callers or sidecars reach it.
  host_address address = host_address::Make("127.0.0.1", 0);
  /// Internal address of a process of the system.
  host_address internal = host_address::Make("127.0.0.1", 0);
};

/// \brief Real processes on loopback: stand-ins, sidecars and entry hosts.
class fleet {
 public:
  /// Starts every process, writes the configuration with one key per account,
  /// and waits until every entry host can use every sidecar.
  static result<std::unique_ptr<fleet>> Start(fleet_options options);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  test_client& http() { return http_; }
  const std::string& folder() const { return folder_; }
  const std::string& admin_token() const { return admin_token_; }
  /// Keeps the folder with the logs after the end.
  void set_keep_folder(bool keep) { keep_folder_ = keep; }

  fleet_member& store() { return *store_; }
  fleet_member& hosts() { return *hosts_; }
  fleet_member& entry(std::size_t index) { return *entries_.at(index); }
  std::size_t entry_count() const { return entries_.size(); }
  fleet_member& backend(const std::string& deployment, std::size_t index = 0) {
    return *backends_.at(deployment).at(index);
  }
  fleet_member& sidecar(const std::string& deployment, std::size_t index = 0) {
    return *sidecars_.at(deployment).at(index);
  }

  /// \returns the text of the account's key.
  const std::string& key(const std::string& account) const {
    return keys_.at(account);
  }
  /// Reads the configuration, changes it and writes the next generation.
  result<std::uint64_t> Change(
      const std::function<result<configuration>(const configuration&)>& edit,
      const std::string& summary);
  /// Withdraws the key that \sa key returns.
  result<std::uint64_t> WithdrawKeyOf(const std::string& account);

  /// Starts an ended member again with the same command.
  result<void> Restart(fleet_member& member);
  /// Marks a process in the host list as live or leaving.
  void SetLeaving(const fleet_member& member, bool leaving);
  /// Sends `POST /control` to a stand-in.
  void Control(const fleet_member& member, const std::string& body);
  /// Cuts or restores every link of the separable entry host. The other entry
  /// hosts don't reach each other either, but reach the store and the sidecars.
  void CutOff(bool cut);

  /// \returns a number of `GET /control/stats`, found by the names of nested
  /// objects; 0 when it is absent and -1 when the stand-in doesn't answer.
  double Stat(const fleet_member& member, const std::vector<std::string>& path);
  /// \returns a value of `GET /metrics` of an entry host, or -1.
  double Metric(std::size_t entry_index, const std::string& name_and_labels);
  bool WaitUntilReady(
      std::chrono::milliseconds limit = std::chrono::seconds(20));

  /// Asks every process to stop, in the order in which requests enter.
  /// \returns the ids of those that did not end with status 0.
  std::vector<std::string> StopAll(std::chrono::milliseconds limit);

 private:
  struct host_list_entry {
    std::string address;
    std::string zone;
    std::string role;
    std::string deployment;
  };
  struct relay_link {
    std::unique_ptr<fleet_member> relay;
    host_address control = host_address::Make("127.0.0.1", 0);
  };

  explicit fleet(fleet_options options);
  result<void> StartAll();
  result<std::unique_ptr<fleet_member>> StartStandin(
      const std::string& program,
      const std::string& id,
      const std::vector<std::string>& arguments);
  result<void> StartGroup(const backend_group& group);
  result<void> StartEntries();
  result<host_address> AddRelay(const host_address& target);
  result<std::unique_ptr<fleet_member>> MakeNode(
      const std::string& role,
      const std::string& id,
      const std::vector<std::string>& arguments);
  result<void> Launch(fleet_member& member);
  result<void> WriteFirstConfiguration();
  void List(const fleet_member& member,
            const host_address& address,
            const std::string& role,
            const std::string& deployment);
  std::string NextZone();

  fleet_options options_;
  std::string folder_;
  bool keep_folder_ = false;
  std::string secret_;
  std::string admin_token_;
  std::size_t next_zone_ = 0;
  std::map<std::string, std::string> keys_;
  std::map<std::string, host_list_entry> listed_;
  test_client http_;
  std::unique_ptr<fleet_member> store_;
  std::unique_ptr<fleet_member> hosts_;
  std::unique_ptr<fleet_member> weights_;
  std::vector<relay_link> relays_;
  std::vector<host_address> entry_addresses_;
  std::vector<host_address> sidecar_peers_;
  std::map<std::string, std::vector<std::unique_ptr<fleet_member>>> backends_;
  std::map<std::string, std::vector<std::unique_ptr<fleet_member>>> sidecars_;
  std::vector<std::unique_ptr<fleet_member>> entries_;
};

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_FLEET_H_
