#ifndef CARDAMOMYARD_STANDINS_RAW_RAW_SERVER_H_
#define CARDAMOMYARD_STANDINS_RAW_RAW_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "cardamomyard/net.h"

namespace cardamomyard::standins {

/// \brief One connection of a raw_server. Its calls block.
class raw_peer {
 public:
  explicit raw_peer(boost::asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  /// Reads a request head and a body of its Content-Length.
  /// \returns the head, empty when the client has closed.
  std::string ReadRequest();
  /// Reads a request head and leaves the body unread.
  std::string ReadHead();
  /// \returns false when the client has closed.
  bool Send(std::string_view bytes);
  /// Sends \p bytes again and again, with a pause in between, until the client
  /// closes.
  /// \returns how many bytes were sent.
  std::size_t SendWithoutEnd(std::string_view bytes,
                             std::chrono::milliseconds pause = {});
  /// Discards what the client sends until it closes.
  void WaitForClose();
  /// Closes the connection, whatever has not been read.
  void Close();
  /// Closes the connection so that the client sees a reset.
  void Reset();
  /// Ends what the client receives; its bytes can still be read.
  void ShutSending();
  /// Ends waiting calls. Safe from any thread.
  void Shut();

 private:
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
};

/// \returns the value of a header in a request head, or an empty text.
std::string HeaderOf(std::string_view head, std::string_view name);

/// \brief A server that sends any bytes: what a test writes down, right or
/// wrong.
class raw_server {
 public:
  /// Runs on a thread for each connection; the connection closes at its end.
  using script = std::function<void(raw_peer&)>;

  explicit raw_server(script serve);
  /// Sets the size of the buffers in which unread bytes of new connections
  /// wait.
  void SetReceiveBuffer(int bytes);
  ~raw_server();
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  const host_address& address() const { return address_; }
  int connections() const { return connections_; }
  /// Refuses connections from now on; open ones stay.
  void StopListening();

 private:
  void Accept();

  script serve_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  host_address address_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  std::list<std::shared_ptr<raw_peer>> peers_;
  std::list<std::thread> threads_;
  std::thread accepting_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_RAW_RAW_SERVER_H_
