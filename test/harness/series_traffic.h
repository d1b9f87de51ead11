#ifndef CARDAMOMYARD_TEST_HARNESS_SERIES_TRAFFIC_H_
#define CARDAMOMYARD_TEST_HARNESS_SERIES_TRAFFIC_H_

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "harness/kept_connection.h"
#include "harness/platform_fleet.h"

namespace cardamomyard::harness {

/// \brief A gateway as its callers know it.
struct called_gateway {
  using time_point = std::chrono::steady_clock::time_point;

  platform_fleet::host host;
  std::atomic<bool> balanced{true};  ///< Callers open connections to it.
  std::atomic<time_point> stop{time_point::max()};
  std::atomic<int> starts{1};
};

/// \brief The idle limits that may be in force at any gateway.
class idle_limits {
 public:
  void Add(std::chrono::milliseconds limit);
  /// \returns the least that was in force within the last seconds.
  std::chrono::milliseconds Least();

 private:
  std::mutex mutex_;
  std::deque<std::pair<std::chrono::steady_clock::time_point,
                       std::chrono::milliseconds>>
      limits_;
};

/// \brief What the callers of a series have seen.
struct series_record {
  struct cut_answer {
    std::string id;
    std::string gateway;
    std::string what;
  };

  std::mutex mutex;
  int requests = 0;
  int reused = 0;
  std::map<std::string, int> endings;  ///< By kind of request and end.
  std::vector<std::string> failures;
  std::vector<std::string> crossed;
  std::vector<cut_answer> cuts;  ///< Allowed at the time limit only.
  std::set<std::string> jobs;    ///< Accepted.
};

/// \brief Callers that keep their connections, each with a thread.
class series_traffic {
 public:
  static constexpr int kItems = 4;
  /// A key that configurations may lack.
  static constexpr const char* kOtherKey = "key-that-goes";

  series_traffic(std::vector<called_gateway*> gateways,
                 idle_limits& limits,
                 series_record& record,
                 std::uint64_t seed);
  ~series_traffic();
  series_traffic(const series_traffic&) = delete;
  series_traffic& operator=(const series_traffic&) = delete;

  void Start(int callers);
  /// Ends the traffic; requests that run are waited for.
  void Stop();

 private:
  struct planned_request;
  class caller;

  std::vector<called_gateway*> gateways_;
  idle_limits* limits_;
  series_record* record_;
  std::uint64_t seed_;
  std::atomic<bool> stopped_{false};
  std::vector<std::thread> threads_;
};

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_SERIES_TRAFFIC_H_
