#ifndef CARDAMOMYARD_NODE_PROCESS_CONTEXT_H_
#define CARDAMOMYARD_NODE_PROCESS_CONTEXT_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"
#include "cardamomyard/store.h"
#include "cardamomyard/telemetry.h"
#include "src/node/settings.h"

namespace cardamomyard {

/// \brief What every part of a process shares: clock, metrics, spans, clients
/// and threads.
///
/// The control thread runs everything that is not on a request's path.
class process_context {
 public:
  static result<std::unique_ptr<process_context>> Create(
      common_settings settings);
  ~process_context();
  process_context(const process_context&) = delete;
  process_context& operator=(const process_context&) = delete;

  const common_settings& settings() const { return settings_; }
  const clock& time() const { return clock_; }
  metrics_registry& metrics() { return metrics_; }
  span_writer& spans() { return *spans_; }
  const request_signer& signer() const { return signer_; }
  /// Client for backend servers and the platform.
  http_client& http() { return *http_; }
  /// Client for the other processes of the system.
  http_client& internal_http() { return *internal_http_; }
  store_client& store() { return *store_; }
  thread_pool& traffic() { return traffic_; }
  boost::asio::any_io_executor control();
  /// Thread for the operators' requests, so that large configurations delay
  /// neither traffic nor heartbeats.
  boost::asio::any_io_executor background();
  /// Milliseconds of wall time at start; a restarted process has a higher one.
  std::int64_t incarnation() const { return incarnation_; }

  /// Address under which other processes reach this one.
  host_address advertised() const;
  void SetBoundAddress(const host_address& bound);

  /// Set when a planned stop begins.
  bool stopping() const { return stopping_; }
  void SetStopping() { stopping_ = true; }

  /// Stops all threads. Nothing of the context may run afterwards.
  void StopThreads();

 private:
  process_context(common_settings settings, request_signer signer);

  common_settings settings_;
  host_clock clock_;
  metrics_registry metrics_;
  request_signer signer_;
  std::int64_t incarnation_;
  std::unique_ptr<span_writer> spans_;
  std::unique_ptr<http_client> http_;
  std::unique_ptr<http_client> internal_http_;
  std::unique_ptr<store_client> store_;
  std::optional<host_address> bound_;
  std::atomic<bool> stopping_{false};
  thread_pool traffic_;
  thread_pool background_{1};
  thread_pool control_{1};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_PROCESS_CONTEXT_H_
