#include "harness/test_client.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <cstdlib>
#include <utility>

namespace cardamomyard::harness {
namespace asio = boost::asio;
namespace {

constexpr std::size_t kThreads = 4;
constexpr std::size_t kMaxAnswerBytes = 64U << 20U;

asio::awaitable<stream_answer> ReadStream(
    http_client& client,
    host_address server,
    http_request request,
    std::function<bool(std::string_view)> on_piece,
    call_options options) {
  stream_answer answer;
  auto opened =
      co_await client.Open(std::move(server), std::move(request), options);
  if (!opened) {
    answer.failure = opened.error().message();
    co_return answer;
  }
  answer.status = (*opened)->status();
  answer.headers = (*opened)->headers();
  while (true) {
    result<std::string> piece = co_await (*opened)->ReadSome();
    if (!piece) {
      answer.failure = piece.error().message();
      co_return answer;
    }
    if (piece->empty()) {
      answer.whole = true;
      co_return answer;
    }
    answer.body += *piece;
    if (on_piece && !on_piece(*piece)) {
      answer.failure = "closed by the test";
      co_return answer;
    }
  }
}

/// Parses a head that ends before \p end_of_head.
http_response ParseHead(std::string_view head) {
  http_response answer;
  answer.status = 0;
  const std::size_t space = head.find(' ');
  if (space != std::string_view::npos) {
    answer.status = std::atoi(std::string(head.substr(space + 1, 3)).c_str());
  }
  for (std::size_t at = head.find("\r\n"); at != std::string_view::npos;) {
    const std::size_t next = head.find("\r\n", at + 2);
    const std::string_view line = head.substr(
        at + 2, next == std::string_view::npos ? std::string_view::npos
                                               : next - at - 2);
    const std::size_t colon = line.find(": ");
    if (colon != std::string_view::npos) {
      answer.headers.Add(std::string(line.substr(0, colon)),
                         std::string(line.substr(colon + 2)));
    }
    at = next;
  }
  return answer;
}

}  // namespace

test_client::test_client()
    : threads_(kThreads), client_(std::move(*http_client::Create())) {}

http_response test_client::Call(const host_address& server,
                                http_request request,
                                std::chrono::milliseconds timeout) {
  call_options options;
  options.head_timeout = timeout;
  options.idle_timeout = timeout;
  result<http_response> answer =
      asio::co_spawn(
          threads_.Next(),
          client_->Fetch(server, std::move(request), options, kMaxAnswerBytes),
          asio::use_future)
          .get();
  return answer ? *answer : http_response{0, {}, answer.error().message()};
}

stream_answer test_client::Stream(
    const host_address& server,
    http_request request,
    std::function<bool(std::string_view)> on_piece,
    std::chrono::milliseconds timeout) {
  call_options options;
  options.head_timeout = timeout;
  options.idle_timeout = timeout;
  return asio::co_spawn(threads_.Next(),
                        ReadStream(*client_, server, std::move(request),
                                   std::move(on_piece), options),
                        asio::use_future)
      .get();
}

http_request JsonRequest(std::string method,
                         std::string target,
                         std::string body,
                         const std::string& key) {
  http_request request{
      std::move(method), std::move(target), {}, std::move(body)};
  request.headers.Set("Content-Type", "application/json");
  if (!key.empty()) {
    request.headers.Set("Authorization", "Bearer " + key);
  }
  return request;
}

result<std::unique_ptr<raw_connection>> raw_connection::Open(
    const host_address& server) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port());
  ::inet_pton(AF_INET, server.ip().c_str(), &address.sin_addr);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(socket);
    return Fail(error_kind::no_backend,
                "cannot connect to " + server.ToString());
  }
  return std::unique_ptr<raw_connection>(new raw_connection(socket));
}

raw_connection::~raw_connection() {
  ::close(socket_);
}

bool raw_connection::Send(std::string_view bytes) {
  return ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(bytes.size());
}

http_response raw_connection::ReadAnswer(std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  std::size_t head_bytes = 0;
  while ((head_bytes = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(end)) {
      http_response none;
      none.status = 0;
      return none;
    }
  }
  http_response answer =
      ParseHead(std::string_view(buffer_).substr(0, head_bytes));
  buffer_.erase(0, head_bytes + 4);
  const auto length = answer.headers.Get("Content-Length");
  const std::size_t expected =
      length ? std::strtoull(length->c_str(), nullptr, 10) : std::string::npos;
  while (buffer_.size() < expected && Fill(end)) {
  }
  answer.body = buffer_.substr(0, expected);
  buffer_.erase(0, answer.body.size());
  return answer;
}

bool raw_connection::WaitForBytes(std::chrono::milliseconds limit) {
  return !buffer_.empty() || Fill(std::chrono::steady_clock::now() + limit);
}

bool raw_connection::WaitForClose(std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (Fill(end)) {
  }
  return std::chrono::steady_clock::now() < end;
}

bool raw_connection::Fill(std::chrono::steady_clock::time_point end) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      end - std::chrono::steady_clock::now());
  pollfd waited{socket_, POLLIN, 0};
  if (left.count() <= 0 ||
      ::poll(&waited, 1, static_cast<int>(left.count())) <= 0) {
    return false;
  }
  std::array<char, 16 * 1024> piece{};
  const ssize_t count = ::recv(socket_, piece.data(), piece.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(piece.data(), static_cast<std::size_t>(count));
  return true;
}

}  // namespace cardamomyard::harness
