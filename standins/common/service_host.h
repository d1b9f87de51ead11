#ifndef CARDAMOMYARD_STANDINS_COMMON_SERVICE_HOST_H_
#define CARDAMOMYARD_STANDINS_COMMON_SERVICE_HOST_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>

#include "cardamomyard/net.h"

namespace cardamomyard::standins {

/// \brief What a stand-in answers. All calls come from one thread, so its
/// state needs no lock.
class service {
 public:
  virtual ~service() = default;
  virtual boost::asio::awaitable<void> Handle(http_exchange& exchange) = 0;
};

/// \brief Serves one service on one thread.
class service_host {
 public:
  static result<std::unique_ptr<service_host>> Create(
      std::unique_ptr<service> served,
      host_address listen = host_address::Make("127.0.0.1", 0));
  ~service_host();
  service_host(const service_host&) = delete;
  service_host& operator=(const service_host&) = delete;

  const host_address& address() const { return address_; }
  boost::asio::io_context& context() { return threads_.At(0); }
  /// Joins the thread; nothing runs afterwards.
  void Stop() { threads_.Stop(); }
  /// Closes the listening socket and idle connections, and listens again on
  /// the same address after \p pause.
  void RefuseFor(std::chrono::milliseconds pause);

 private:
  explicit service_host(std::unique_ptr<service> served);
  result<void> Listen(host_address listen);
  boost::asio::awaitable<void> ListenAgain(std::chrono::milliseconds pause);

  // Suspended handlers refer to the service until the threads are gone.
  std::unique_ptr<service> served_;
  thread_pool threads_{1};
  std::unique_ptr<http_server> server_;
  host_address address_ = host_address::Make("127.0.0.1", 0);
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_COMMON_SERVICE_HOST_H_
