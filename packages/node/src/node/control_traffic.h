#ifndef CARDAMOMYARD_NODE_CONTROL_TRAFFIC_H_
#define CARDAMOMYARD_NODE_CONTROL_TRAFFIC_H_

#include <string>

#include "cardamomyard/net.h"
#include "cardamomyard/telemetry.h"

namespace cardamomyard {

/// \brief Counts the bytes of an internal control message and its answer in
/// `cardamomyard_control_bytes_total`, labelled `sent` or `received`. The HTTP
/// head is included as written; TCP and TLS framing is not.
class control_traffic {
 public:
  explicit control_traffic(metrics_registry& metrics) : metrics_(&metrics) {}

  void Sent(std::size_t bytes) { Count("sent", bytes); }
  void Received(std::size_t bytes) { Count("received", bytes); }

 private:
  void Count(const char* direction, std::size_t bytes) {
    metrics_
        ->Counter("cardamomyard_control_bytes_total",
                  {{"direction", direction}})
        .Add(static_cast<std::int64_t>(bytes));
  }

  metrics_registry* metrics_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_CONTROL_TRAFFIC_H_
