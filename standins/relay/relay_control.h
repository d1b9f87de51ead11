#ifndef CARDAMOMYARD_STANDINS_RELAY_RELAY_CONTROL_H_
#define CARDAMOMYARD_STANDINS_RELAY_RELAY_CONTROL_H_

#include <atomic>

#include "common/service_host.h"
#include "relay/relay.h"

namespace cardamomyard::standins {

/// \brief `POST /control` of a relay: {"cut":name,"delay_ms":n}.
class relay_control final : public service {
 public:
  boost::asio::awaitable<void> Handle(http_exchange& exchange) override;
  /// \param controlled  runs on the thread that serves this control.
  void set_relay(relay* controlled) { relay_ = controlled; }

 private:
  http_response Apply(const std::string& body);

  std::atomic<relay*> relay_ = nullptr;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_RELAY_RELAY_CONTROL_H_
