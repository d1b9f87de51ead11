#ifndef CARDAMOMYARD_STANDINS_HOSTS_HOSTS_SERVICE_H_
#define CARDAMOMYARD_STANDINS_HOSTS_HOSTS_SERVICE_H_

#include <chrono>
#include <deque>
#include <map>
#include <string>

#include "common/service_host.h"

namespace cardamomyard::standins {

/// \brief The host list as it was one lag ago.
class hosts_service final : public service {
 public:
  explicit hosts_service(std::chrono::milliseconds lag);
  boost::asio::awaitable<void> Handle(http_exchange& exchange) override;

 private:
  struct version {
    time_point at;
    std::string listed;
  };

  http_response Answer(const http_request& request, const std::string& body);
  http_response Change(const http_request& request,
                       const std::string& id,
                       const std::string& body);
  void Record();
  const std::string& LaggedList();

  host_clock clock_;
  std::chrono::milliseconds lag_;
  bool outage_ = false;
  std::map<std::string, std::string> hosts_;  // JSON of each host by id.
  std::deque<version> versions_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_HOSTS_HOSTS_SERVICE_H_
