#include "harness/ports.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <set>
#include <string>

namespace cardamomyard::harness {
namespace {

constexpr int kMaxTries = 100;
constexpr unsigned kByteBits = 8;
constexpr unsigned kByteMask = 0xff;

/// Derived from the process id, which has at most 22 bits. 127.0.0.0/9 is left
/// to programs that don't use this function.
std::string OwnLoopbackIp() {
  const auto pid = static_cast<unsigned>(::getpid());
  const unsigned high = 128 + ((pid >> (2 * kByteBits)) & 0x3f);
  return "127." + std::to_string(high) + "." +
         std::to_string((pid >> kByteBits) & kByteMask) + "." +
         std::to_string(pid & kByteMask);
}

/// \returns 0 on a failure.
std::uint16_t FreePort(const std::string& ip) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool bound = ::bind(socket, generic, size) == 0 &&
                     ::getsockname(socket, generic, &size) == 0;
  ::close(socket);
  return bound ? ntohs(address.sin_port) : 0;
}

}  // namespace

result<host_address> ReserveAddress() {
  static std::mutex mutex;
  static std::set<std::uint16_t> given;
  const std::lock_guard lock(mutex);
  const std::string ip = OwnLoopbackIp();
  for (int tries = 0; tries < kMaxTries; ++tries) {
    const std::uint16_t port = FreePort(ip);
    if (port != 0 && given.insert(port).second) {
      return host_address::Make(ip, port);
    }
  }
  return Fail(error_kind::internal, "no free port on " + ip);
}

}  // namespace cardamomyard::harness
