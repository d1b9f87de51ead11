#ifndef CARDAMOMYARD_STANDINS_ENGINE_ENGINE_SERVICE_H_
#define CARDAMOMYARD_STANDINS_ENGINE_ENGINE_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "common/service_host.h"
#include "engine/batcher.h"
#include "engine/engine_options.h"
#include "engine/order_book.h"

namespace cardamomyard::standins {

/// \brief A model engine: completions, cancel, load, cache events, KV state and
/// orders.
class engine_service final : public service {
 public:
  explicit engine_service(engine_options options);
  boost::asio::awaitable<void> Handle(http_exchange& exchange) override;

  /// Sets what happens after a crash.
  void set_on_crash(std::function<void()> action);

 private:
  boost::asio::awaitable<void> Generate(http_exchange& exchange,
                                        generation_request request);
  boost::asio::awaitable<void> Stream(http_exchange& exchange,
                                      sequence& generated);
  boost::asio::awaitable<void> Order(http_exchange& exchange, std::string body);
  http_response Answer(const http_request& request, const std::string& body);
  http_response Load();
  http_response CacheEvents(const request_target& target) const;
  http_response ExportKv(const std::string& id) const;
  http_response ImportKv(const std::string& body);
  http_response Cancel(const std::string& body);
  http_response Stats() const;

  engine_options options_;
  batcher batcher_;
  order_book orders_;
  std::uint64_t last_id_ = 0;
  std::uint64_t keys_seen_ = 0;
  std::map<std::string, std::uint64_t> by_request_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_ENGINE_ENGINE_SERVICE_H_
