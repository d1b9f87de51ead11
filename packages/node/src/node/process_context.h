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

/// \brief Resources shared by all components of a process: clock, metrics,
/// spans, clients and threads.
///
/// The control thread runs everything that is not on the path of a request.
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
  /// What the HTTP servers of this process may hold together.
  const std::shared_ptr<server_resources>& resources() const {
    return resources_;
  }
  boost::asio::any_io_executor control();
  /// Thread for operators' requests, so that a large configuration delays
  /// neither traffic nor heartbeats.
  boost::asio::any_io_executor background();
  /// Wall time at start in milliseconds; it increases with each restart of the
  /// process.
  std::int64_t incarnation() const { return incarnation_; }

  /// Address at which other processes reach this one.
  host_address advertised() const;
  void SetBoundAddress(const host_address& bound);

  /// Sets the metrics of resources() to their present values.
  void UpdateResourceMetrics();

  /// \returns whether a planned stop has begun.
  bool stopping() const { return stopping_; }
  void SetStopping() { stopping_ = true; }

  /// Stops all threads. Nothing that uses the context may run afterwards.
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
  std::shared_ptr<server_resources> resources_;
  thread_pool traffic_;
  thread_pool background_{1};
  thread_pool control_{1};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_PROCESS_CONTEXT_H_
