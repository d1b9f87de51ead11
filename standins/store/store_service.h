#ifndef CARDAMOMYARD_STANDINS_STORE_STORE_SERVICE_H_
#define CARDAMOMYARD_STANDINS_STORE_STORE_SERVICE_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "common/service_host.h"
#include "store/call_budget.h"
#include "store/object_table.h"

namespace cardamomyard::standins {

struct store_options {
  double writes_per_second = 400;
  double reads_per_second = 2000;
};

/// \brief The object API: versions, conditional updates, watches and faults.
class store_service final : public service {
 public:
  explicit store_service(store_options options);
  boost::asio::awaitable<void> Handle(http_exchange& exchange) override;

 private:
  struct faults {
    bool outage = false;
    bool hang = false;
    std::chrono::milliseconds delay{0};
    double lose_answers = 0;
  };
  using waiters = std::multimap<std::string, boost::asio::steady_timer*>;

  boost::asio::awaitable<void> Control(http_exchange& exchange,
                                       std::string path);
  boost::asio::awaitable<void> Write(http_exchange& exchange, std::string key);
  boost::asio::awaitable<void> Watch(http_exchange& exchange,
                                     request_target target,
                                     std::string key);
  boost::asio::awaitable<bool> WaitOutHang(http_exchange& exchange);
  http_response Read(const std::string& key);
  http_response List(const request_target& target);
  http_response Apply(const http_request& request,
                      const std::string& key,
                      std::string body);
  void ApplyControl(const std::string& body);
  void Wake(const std::string& key);
  void WakeAll();
  time_point Now() const { return clock_.Now(); }

  host_clock clock_;
  object_table objects_;
  call_budget writes_;
  call_budget reads_;
  faults faults_;
  std::mt19937_64 random_{1};
  waiters watches_;
  std::map<std::string, std::uint64_t> calls_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_STORE_STORE_SERVICE_H_
