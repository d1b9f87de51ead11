#ifndef CARDAMOMYARD_NET_HOST_ADDRESS_H_
#define CARDAMOMYARD_NET_HOST_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief IP number and TCP port of a process.
class host_address {
 public:
  /// \param text  "ip:port" or "[ip6]:port"; names are not resolved.
  static result<host_address> Parse(std::string_view text);
  static host_address Make(std::string ip, std::uint16_t port);

  const std::string& ip() const { return ip_; }
  std::uint16_t port() const { return port_; }
  std::string ToString() const;

  friend auto operator<=>(const host_address&, const host_address&) = default;

 private:
  host_address(std::string ip, std::uint16_t port);

  std::string ip_;
  std::uint16_t port_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NET_HOST_ADDRESS_H_
