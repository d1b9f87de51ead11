#ifndef CARDAMOMYARD_STANDINS_SERVICE_PLAIN_SERVICE_H_
#define CARDAMOMYARD_STANDINS_SERVICE_PLAIN_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "common/service_host.h"

namespace cardamomyard::standins {

struct plain_service_options {
  std::string name = "service";
  std::chrono::milliseconds delay{0};
  /// Share of calls that are counted and answered with 500.
  double fail_rate = 0;
  std::uint64_t seed = 1;
};

/// \brief A plain HTTP service that counts its calls.
class plain_service final : public service {
 public:
  explicit plain_service(plain_service_options options);
  boost::asio::awaitable<void> Handle(http_exchange& exchange) override;

 private:
  http_response Stats() const;

  plain_service_options options_;
  std::mt19937_64 random_;
  std::uint64_t calls_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t keys_seen_ = 0;
  std::map<std::string, std::uint64_t> by_call_;
  std::map<std::string, std::uint64_t> by_request_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_SERVICE_PLAIN_SERVICE_H_
