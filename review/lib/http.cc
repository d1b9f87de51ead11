#include "http.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <mutex>
#include <set>

namespace review {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 16U << 20U;
constexpr std::uint32_t kMaxHeaderBytes = 1U << 20U;

void SetTimeout(tcp::socket& socket, std::chrono::milliseconds timeout) {
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(timeout.count() / 1000);
  limit.tv_usec = static_cast<suseconds_t>(timeout.count() % 1000 * 1000);
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof(limit));
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit,
               sizeof(limit));
}

template <class Message>
fields HeadersOf(const Message& message) {
  fields headers;
  for (const auto& field : message) {
    headers.emplace_back(std::string(field.name_string()),
                         std::string(field.value()));
  }
  return headers;
}

}  // namespace

std::string Field(const fields& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (beast::iequals(field, {name.data(), name.size()})) {
      return value;
    }
  }
  return "";
}

bool HasField(const fields& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (beast::iequals(field, {name.data(), name.size()})) {
      return true;
    }
  }
  return false;
}

bool responder::Send(const response& answer) {
  http::response<http::string_body> message(
      static_cast<http::status>(answer.status), 11);
  for (const auto& [name, value] : answer.headers) {
    message.insert(name, value);
  }
  message.body() = answer.body;
  message.prepare_payload();
  boost::system::error_code code;
  http::write(*socket_, message, code);
  open_ = open_ && !code;
  return open_;
}

bool responder::StartStream(int status, const fields& headers) {
  http::response<http::empty_body> head(static_cast<http::status>(status), 11);
  for (const auto& [name, value] : headers) {
    head.insert(name, value);
  }
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer(head);
  boost::system::error_code code;
  http::write_header(*socket_, serializer, code);
  open_ = open_ && !code;
  return open_;
}

bool responder::Write(std::string_view chunk) {
  boost::system::error_code code;
  asio::write(*socket_,
              http::make_chunk(asio::buffer(chunk.data(), chunk.size())), code);
  open_ = open_ && !code;
  return open_;
}

bool responder::Finish() {
  boost::system::error_code code;
  asio::write(*socket_, http::make_chunk_last(), code);
  open_ = open_ && !code;
  return open_;
}

void responder::Reset() {
  open_ = false;
  boost::system::error_code ignored;
  // The thread of the connection closes it after the handler has returned.
  socket_->set_option(asio::socket_base::linger(true, 0), ignored);
}

bool responder::PeerClosed() {
  char byte = 0;
  const auto got =
      ::recv(socket_->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

struct listener::shared {
  asio::io_context context;
  tcp::acceptor acceptor{context};
  handler handle;
  std::mutex mutex;
  std::set<int> sockets;
  bool crashed = false;
  int active = 0;  ///< Threads that serve a connection.
  std::condition_variable idle;
};

listener::listener(const endpoint& where, handler handle)
    : shared_(std::make_shared<shared>()) {
  shared_->handle = std::move(handle);
  const tcp::endpoint address(asio::ip::make_address(where.ip), where.port);
  shared_->acceptor.open(address.protocol());
  shared_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  shared_->acceptor.bind(address);
  shared_->acceptor.listen();
  thread_ = std::thread([this] { Accept(); });
}

listener::~listener() {
  Crash();
  thread_.join();
  // The handler may use the owner of this object, so its calls end first.
  std::unique_lock lock(shared_->mutex);
  shared_->idle.wait(lock, [this] { return shared_->active == 0; });
}

endpoint listener::address() const {
  const auto bound = shared_->acceptor.local_endpoint();
  return {bound.address().to_string(), bound.port()};
}

void listener::Crash() {
  const std::lock_guard lock(shared_->mutex);
  if (shared_->crashed) {
    return;
  }
  shared_->crashed = true;
  // Wakes accept(); the descriptor is closed by that thread.
  ::shutdown(shared_->acceptor.native_handle(), SHUT_RDWR);
  for (const int socket : shared_->sockets) {
    const linger at_once{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    ::shutdown(socket, SHUT_RDWR);
  }
}

void listener::Accept() {
  while (true) {
    boost::system::error_code code;
    tcp::socket accepted = shared_->acceptor.accept(code);
    {
      const std::lock_guard lock(shared_->mutex);
      if (shared_->crashed) {
        boost::system::error_code ignored;
        shared_->acceptor.close(ignored);
        return;
      }
      if (code) {
        continue;
      }
      shared_->sockets.insert(accepted.native_handle());
      ++shared_->active;
    }
    std::thread([held = shared_, socket = std::move(accepted)]() mutable {
      boost::system::error_code failed;
      const int descriptor = socket.native_handle();
      socket.set_option(tcp::no_delay(true), failed);
      beast::flat_buffer buffer;
      while (!failed) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxBodyBytes);
        parser.header_limit(kMaxHeaderBytes);
        http::read(socket, buffer, parser, failed);
        if (failed) {
          break;
        }
        const auto& message = parser.get();
        request received{std::string(message.method_string()),
                         std::string(message.target()), HeadersOf(message),
                         message.body()};
        responder answer(socket);
        held->handle(received, answer);
        if (!answer.open() || !message.keep_alive()) {
          break;
        }
      }
      const std::lock_guard lock(held->mutex);
      held->sockets.erase(descriptor);
      boost::system::error_code ignored;
      socket.close(ignored);
      if (--held->active == 0) {
        held->idle.notify_all();
      }
    }).detach();
  }
}

response Call(const endpoint& server,
              const request& sent,
              std::chrono::milliseconds timeout) {
  asio::io_context context;
  tcp::socket socket(context);
  boost::system::error_code code;
  const tcp::endpoint address(asio::ip::make_address(server.ip), server.port);
  socket.open(address.protocol(), code);
  SetTimeout(socket, timeout);
  socket.connect(address, code);
  if (code) {
    return {};
  }
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(sent.method);
  message.target(sent.target);
  for (const auto& [name, value] : sent.headers) {
    message.insert(name, value);
  }
  message.body() = sent.body;
  message.prepare_payload();
  http::write(socket, message, code);
  if (code) {
    return {};
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  http::read(socket, buffer, parser, code);
  if (code) {
    return {};
  }
  return {static_cast<int>(parser.get().result_int()), HeadersOf(parser.get()),
          parser.get().body()};
}

endpoint FreeEndpoint(const std::string& ip) {
  asio::io_context context;
  const tcp::acceptor acceptor(context,
                               tcp::endpoint(asio::ip::make_address(ip), 0));
  return {ip, acceptor.local_endpoint().port()};
}

}  // namespace review
