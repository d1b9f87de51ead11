#ifndef REVIEW_LIB_HTTP_H_
#define REVIEW_LIB_HTTP_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// \brief An IPv4 address and a port.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

using fields = std::vector<std::pair<std::string, std::string>>;

/// \returns the value of a header, or an empty text.
std::string Field(const fields& headers, std::string_view name);
bool HasField(const fields& headers, std::string_view name);

struct request {
  std::string method = "GET";
  std::string target;
  fields headers;
  std::string body;
};

struct response {
  int status = 0;  ///< 0 when there was no complete response.
  fields headers;
  std::string body;
};

/// \brief Answers one request on its connection.
class responder {
 public:
  explicit responder(boost::asio::ip::tcp::socket& socket) : socket_(&socket) {}

  bool Send(const response& answer);
  bool StartStream(int status, const fields& headers);
  bool Write(std::string_view chunk);
  bool Finish();
  /// Lets the connection end with a reset, without the end of the response,
  /// when the handler returns.
  void Reset();
  /// \returns whether the caller has closed the connection.
  bool PeerClosed();
  bool open() const { return open_; }

 private:
  boost::asio::ip::tcp::socket* socket_;
  bool open_ = true;
};

/// \brief An HTTP/1.1 server with one thread for each connection.
class listener {
 public:
  using handler = std::function<void(const request&, responder&)>;

  /// Listens on \p where; port 0 picks a free one.
  listener(const endpoint& where, handler handle);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  endpoint address() const;
  /// Closes the listening socket and resets all connections for good.
  void Crash();

 private:
  struct shared;
  void Accept();

  std::shared_ptr<shared> shared_;
  std::thread thread_;
};

/// Sends a request on a new connection and reads the whole response.
response Call(const endpoint& server,
              const request& sent,
              std::chrono::milliseconds timeout);

/// \returns an endpoint with a port that is free on \p ip at the moment.
endpoint FreeEndpoint(const std::string& ip);

}  // namespace review

#endif  // REVIEW_LIB_HTTP_H_
