#ifndef REVIEW_LIB_FLEET_H_
#define REVIEW_LIB_FLEET_H_

#include <sys/types.h>

#include <boost/json.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "platform.h"
#include "record.h"

namespace review {

constexpr const char* kHost = "ficu95.example";
constexpr const char* kKey = "2b9wu3fexd9dnn2ctnfz";
constexpr const char* kTenant = "huka270";
constexpr const char* kOtherKey = "9fj3ks72nd81kdm3xq0a";
constexpr const char* kOtherTenant = "lomi118";

/// \brief A process of the system on an address of its own.
struct node {
  std::string name;
  std::string role;
  std::string ip;
  std::string settings;
  endpoint front;
  endpoint ready;
  pid_t process = -1;
};

/// \brief The system's own processes, started with the commands of the deploy
/// file and with settings as DEPLOY.md describes them.
///
/// All addresses lie in one part of the loopback network, so that the fixed
/// metrics port of the deploy file is free for each process.
class fleet {
 public:
  fleet(record& log, platform& store, std::string subnet);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// \returns a part of the loopback network for this process, as "127.a.b.".
  static std::string PickSubnet();

  /// Starts `target/bin/cardamomyard ROLE --metrics-port 9464`. The result is
  /// valid as long as the fleet.
  node& Start(const std::string& role,
              const std::string& name,
              const std::string& zone);
  void Signal(const node& target, int number);
  /// Kills a process.
  void Kill(node& target);
  /// Starts a process that has ended, with the same settings.
  void Launch(node& target);
  /// \returns whether the process has not ended by itself.
  bool Running(node& target);
  /// \returns whether a gateway is ready within \p limit.
  bool WaitReady(const node& gateway, std::chrono::milliseconds limit);
  /// \returns whether the log of a process has a line with both texts.
  bool Logged(const node& source,
              const std::string& text,
              const std::string& other) const;
  std::string LogPath(const node& source) const;

 private:
  static void End(node& target);

  record* log_;
  std::string store_;
  std::string subnet_;
  std::filesystem::path folder_;
  std::vector<std::unique_ptr<node>> nodes_;
  boost::json::array seeds_;
};

/// \brief A route of the configuration.
struct route_options {
  std::string name;
  std::string prefix;
  std::string type;
  std::string service;
  int max_attempts = 3;
  double due_ms = 18000;
  double retention_s = 60;
};

/// \returns the spec of `config/main` with two tenants.
boost::json::object Configuration(int version,
                                  const std::vector<route_options>& routes);

/// \returns a client's call with the host and the key of a tenant.
request ClientCall(const std::string& method,
                   const std::string& target,
                   const std::string& id,
                   const std::string& key = kKey);

/// Sends a batch job and records the call. \returns the status.
/// \param parts  the value of the header `Prompt-Prefix` of each item.
int Submit(record& log,
           const endpoint& front,
           const std::string& prefix,
           const std::string& job,
           int items,
           int tokens,
           const std::string& key = kKey,
           const std::string& parts = "9c2e41:300,5d07b8:240");

/// \brief A result of a batch job as a client reads it.
struct listed_item {
  std::string id;
  std::string state;
  std::string text;
};

/// Reads all results of a batch job from the start. \returns false when a page
/// cannot be read.
bool ReadResults(record& log,
                 const endpoint& front,
                 const std::string& job,
                 std::vector<listed_item>& results,
                 const std::string& key = kKey);

/// \returns the id of an item of a batch job.
std::string ItemId(const std::string& job, int number);

/// \returns whether the case runs with its disruption; TROUBLE=0 leaves it out.
bool HasTrouble();

/// Waits until \p holds. \returns whether it did within \p limit.
bool Eventually(const std::function<bool()>& holds,
                std::chrono::milliseconds limit);

}  // namespace review

#endif  // REVIEW_LIB_FLEET_H_
