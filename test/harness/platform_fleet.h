#ifndef CARDAMOMYARD_TEST_HARNESS_PLATFORM_FLEET_H_
#define CARDAMOMYARD_TEST_HARNESS_PLATFORM_FLEET_H_

#include <boost/json.hpp>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/service_host.h"
#include "harness/child_process.h"
#include "harness/test_client.h"
#include "platform/platform_engine.h"
#include "platform/platform_store.h"

namespace cardamomyard::harness {

/// \brief Sizes of a fleet on the stand-in of the users' platform.
struct platform_size {
  int engines = 2;
  int slots = 4;            ///< Of each backend server.
  double rate_per_s = 100;  ///< Of the one client account.
  /// Of each request, at the route and in the request.
  std::chrono::milliseconds time_limit{5000};
};

/// \brief Real gateways and workers beside a stand-in of the users' platform.
class platform_fleet {
 public:
  static constexpr const char* kKey = "key-of-acme";

  struct host {
    std::string name;
    host_address front = host_address::Make("0.0.0.0", 0);
    host_address ready = host_address::Make("0.0.0.0", 0);
    host_address internal = host_address::Make("0.0.0.0", 0);
    child_process* process = nullptr;
  };

  explicit platform_fleet(const platform_size& size = {});
  ~platform_fleet();
  platform_fleet(const platform_fleet&) = delete;
  platform_fleet& operator=(const platform_fleet&) = delete;

  standins::platform_store& store() { return *store_; }
  const std::vector<standins::platform_engine*>& engines() const {
    return engines_;
  }
  const host_address& engine_address(std::size_t number) const {
    return engine_hosts_[number]->address();
  }
  test_client& client() { return client_; }
  const std::filesystem::path& folder() const { return folder_; }
  child_process& process(std::size_t number) { return *processes_[number]; }

  /// Starts a backend server that registers itself as \p id.
  void AddEngine(const std::string& id);
  /// Writes the entry of a backend server as the server itself does.
  void RegisterEngine(const std::string& id,
                      const host_address& address,
                      const std::string& state,
                      const std::string& service = "lm");
  /// Writes the configuration: the routes ask (may be repeated), draft (may
  /// not) and lots (batch), and one account with \p keys.
  void Configure(int version, const std::vector<std::string>& keys);

  /// Writes a configuration with these parts.
  void Configure(int version,
                 const std::vector<std::string>& keys,
                 const boost::json::array& routes,
                 const boost::json::object& limits);
  /// \returns a route NAME with the path prefix /NAME/.
  static boost::json::object MakeRoute(const std::string& name,
                                       const std::string& type,
                                       bool resumes,
                                       const std::string& service = "lm");

  /// Adds a batch route to \p service to the configurations that Configure()
  /// writes from now on.
  void AddBatchRoute(const std::string& name, const std::string& service);

  /// Sets the size that the store allows a value, for processes that start
  /// from now on.
  void SetValueBytes(std::size_t bytes) { value_bytes_ = bytes; }
  /// Sets the memory and the descriptors that the settings state for the
  /// machines of processes that start from now on.
  void SetMachineLimits(std::size_t memory_megabytes, std::size_t descriptors) {
    limits_ = {{"memory-mb", memory_megabytes}, {"max-fds", descriptors}};
  }

  /// Adds bounds to the settings of processes that start from now on.
  void SetBounds(boost::json::object bounds) { bounds_ = std::move(bounds); }
  /// Sets the list of services of the configurations that are written from now
  /// on.
  void SetServices(boost::json::array services) {
    services_ = std::move(services);
  }

  /// Starts a process in the role \p role with more \p flags.
  host Start(const std::string& role,
             const std::string& name,
             const std::vector<std::string>& flags = {});
  /// Starts an ended process again, with the same settings and addresses.
  void StartAgain(host& ended);
  /// \returns whether the gateway says that it is ready.
  bool Ready(const host& gateway);

  http_request Request(const std::string& method,
                       const std::string& target,
                       const std::string& id,
                       const std::string& body = "",
                       const std::string& key = kKey) const;
  /// Submits a batch job with the items PREFIX-0, PREFIX-1 and so on; the first
  /// one can never be done.
  http_response Submit(const host& gateway,
                       const std::string& job,
                       int items,
                       const std::string& prefix,
                       const std::string& route = "lots");
  /// \returns one page of the results of \p job, empty when it is not served.
  boost::json::object Results(const host& gateway,
                              const std::string& job,
                              int after = 0);
  /// Waits until all \p items results of \p job are listed.
  bool AllListed(const host& gateway, const std::string& job, int items);

  /// \returns how many requests whose ids contain \p part the servers ran.
  std::size_t Runs(const std::string& part);
  std::string Log(const std::string& name) const;
  /// \returns whether the log of \p name has a line with both texts.
  bool Logged(const std::string& name,
              const std::string& message,
              const std::string& field) const;

  /// Waits until \p holds. \returns whether it did within \p limit.
  static bool Eventually(
      const std::function<bool()>& holds,
      std::chrono::milliseconds limit = std::chrono::seconds(10));

 private:
  platform_size size_;
  std::filesystem::path folder_;
  standins::platform_store* store_ = nullptr;
  std::unique_ptr<standins::service_host> store_host_;
  std::vector<standins::platform_engine*> engines_;
  std::vector<std::unique_ptr<standins::service_host>> engine_hosts_;
  std::vector<std::string> seeds_;
  boost::json::array added_routes_;
  std::size_t value_bytes_ = 1'000'000;
  boost::json::object limits_;
  boost::json::object bounds_;
  boost::json::array services_;
  std::vector<std::unique_ptr<child_process>> processes_;
  test_client client_;
};

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_PLATFORM_FLEET_H_
