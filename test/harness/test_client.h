#ifndef CARDAMOMYARD_TEST_HARNESS_TEST_CLIENT_H_
#define CARDAMOMYARD_TEST_HARNESS_TEST_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cardamomyard/net.h"

namespace cardamomyard::harness {

/// \brief An answer that was read as a stream.
struct stream_answer {
  int status = 0;  ///< 0 when there was no answer.
  header_list headers;
  std::string body;
  bool whole = false;   ///< The message reached its proper end.
  std::string failure;  ///< Why it did not.
};

/// \brief Blocking HTTP client. Safe from several threads.
class test_client {
 public:
  test_client();

  /// \returns the whole answer; status 0 and the reason as body on a failure.
  http_response Call(
      const host_address& server,
      http_request request,
      std::chrono::milliseconds timeout = std::chrono::seconds(60));

  /// \brief Reads an answer piece by piece.
  /// \param on_piece  called with each piece; false closes the connection.
  stream_answer Stream(
      const host_address& server,
      http_request request,
      std::function<bool(std::string_view)> on_piece = {},
      std::chrono::milliseconds timeout = std::chrono::seconds(60));

 private:
  thread_pool threads_;
  // Destroyed first: its connections use the contexts of the threads.
  std::unique_ptr<http_client> client_;
};

/// \returns a request with a JSON body and, unless \p key is empty, the key.
http_request JsonRequest(std::string method,
                         std::string target,
                         std::string body = "",
                         const std::string& key = "");

/// \brief A TCP connection for input that the client would not send.
class raw_connection {
 public:
  static result<std::unique_ptr<raw_connection>> Open(
      const host_address& server);
  ~raw_connection();
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  bool Send(std::string_view bytes);
  /// \brief Reads one answer with Content-Length, or until the connection ends.
  /// \returns the answer; status 0 when none came within \p limit.
  http_response ReadAnswer(
      std::chrono::milliseconds limit = std::chrono::seconds(10));
  /// \returns whether a byte that was not read yet is there within \p limit.
  bool WaitForBytes(std::chrono::milliseconds limit = std::chrono::seconds(10));
  /// \returns whether the server closed the connection within \p limit.
  bool WaitForClose(std::chrono::milliseconds limit);

 private:
  explicit raw_connection(int socket) : socket_(socket) {}
  /// \returns false at the end of the connection or after the limit.
  bool Fill(std::chrono::steady_clock::time_point end);

  int socket_;
  std::string buffer_;
};

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_HARNESS_TEST_CLIENT_H_
