#ifndef CARDAMOMYARD_STANDINS_RELAY_RELAY_H_
#define CARDAMOMYARD_STANDINS_RELAY_RELAY_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cardamomyard/net.h"

namespace cardamomyard::standins {

/// \brief Where a relay stops forwarding. All but `refuse` keep connections
/// open and only hold their bytes back.
enum class relay_cut { none, both, to_target, to_client, refuse };

std::optional<relay_cut> ParseRelayCut(std::string_view name);

/// \brief Forwards TCP connections to one target.
class relay {
 public:
  /// \param context  run by one thread only.
  static result<std::unique_ptr<relay>> Create(boost::asio::io_context& context,
                                               const host_address& listen,
                                               const host_address& target);
  virtual ~relay() = default;
  virtual host_address address() const = 0;
  /// Call it on the thread of the context.
  virtual void SetCut(relay_cut cut) = 0;
  /// Holds every byte back for that long, in each direction.
  virtual void SetDelay(std::chrono::milliseconds delay) = 0;
  virtual std::size_t connections() const = 0;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_RELAY_RELAY_H_
