#ifndef CARDAMOMYARD_TEST_HARNESS_CLIENT_CROWD_H_
#define CARDAMOMYARD_TEST_HARNESS_CLIENT_CROWD_H_

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/net.h"

namespace cardamomyard::harness {

/// \brief What one misbehaving client sends before it leaves its connection
/// open.
struct client_script {
  std::string head;
  std::string piece;       ///< Sent again and again after the head.
  std::size_t pieces = 0;  ///< How often.
};

/// \returns a head of \p request without its body, followed by \p framing, such
/// as "Transfer-Encoding: chunked".
std::string HeadOf(const http_request& request, const std::string& framing);

/// \returns \p bytes as one chunk of a chunked body.
std::string ChunkOf(const std::string& bytes);

/// \brief Clients that send bytes without reading answers, all at the same
/// time, and keep their connections open until the end of the crowd.
class client_crowd {
 public:
  client_crowd() = default;
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  /// Connects \p count clients to \p server.
  void Add(const host_address& server,
           const client_script& script,
           std::size_t count);
  /// Sends until each client has sent everything or its connection is closed,
  /// or until no client can send any more.
  void Send();
  std::size_t size() const { return clients_.size(); }

 private:
  struct client {
    int socket = -1;
    client_script script;
    std::size_t sent_pieces = 0;
    std::string pending;
  };
  /// \returns whether any byte was sent.
  static bool SendSome(client& sender);
  static bool HasMore(const client& sender);

  std::vector<client> clients_;
};

/// \returns the largest memory that a process has taken so far.
std::size_t PeakMegabytes(pid_t process);
std::size_t OpenDescriptors(pid_t process);
/// Waits until a process has worked off what a crowd has sent: its largest
/// memory and its descriptors don't change any more.
void AwaitQuiet(pid_t process);

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_CLIENT_CROWD_H_
