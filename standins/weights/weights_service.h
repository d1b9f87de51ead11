#ifndef CARDAMOMYARD_STANDINS_WEIGHTS_WEIGHTS_SERVICE_H_
#define CARDAMOMYARD_STANDINS_WEIGHTS_WEIGHTS_SERVICE_H_

#include <cstddef>
#include <cstdint>

#include "common/service_host.h"

namespace cardamomyard::standins {

struct weights_options {
  double bytes_per_second = 100e6;
  std::size_t max_concurrent = 4;
  std::size_t object_bytes = 1 << 20;
};

/// \brief The weight store: one byte rate shared by few concurrent reads.
class weights_service final : public service {
 public:
  explicit weights_service(weights_options options);
  boost::asio::awaitable<void> Handle(http_exchange& exchange) override;

 private:
  boost::asio::awaitable<void> SendWeights(http_exchange& exchange);
  /// Reserves the shared rate. \returns the time until \p bytes may be sent.
  duration Reserve(std::size_t bytes);
  http_response Stats() const;

  weights_options options_;
  host_clock clock_;
  time_point next_free_;
  std::size_t reading_ = 0;
  std::size_t most_reading_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_WEIGHTS_WEIGHTS_SERVICE_H_
