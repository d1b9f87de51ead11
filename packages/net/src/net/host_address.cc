#include "src/net/host_address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <utility>

namespace cardamomyard {

host_address::host_address(std::string ip, std::uint16_t port)
    : ip_(std::move(ip)), port_(port) {}

host_address host_address::Make(std::string ip, std::uint16_t port) {
  return {std::move(ip), port};
}

result<host_address> host_address::Parse(std::string_view text) {
  const auto fail = [text] {
    return Fail(error_kind::invalid_request,
                "address \"" + std::string(text) + "\" is not IP:PORT");
  };
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  std::string_view ip = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  std::uint16_t port = 0;
  const auto [end, status] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  boost::system::error_code code;
  boost::asio::ip::make_address(std::string(ip), code);
  if (code || status != std::errc() ||
      end != port_text.data() + port_text.size()) {
    return fail();
  }
  return host_address(std::string(ip), port);
}

std::string host_address::ToString() const {
  const bool is_v6 = ip_.find(':') != std::string::npos;
  return (is_v6 ? "[" + ip_ + "]" : ip_) + ":" + std::to_string(port_);
}

}  // namespace cardamomyard
