#include "raw/raw_server.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace cardamomyard::standins {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

}  // namespace

std::string HeaderOf(std::string_view head, std::string_view name) {
  const std::string field = "\r\n" + std::string(name) + ": ";
  const std::size_t at = head.find(field);
  if (at == std::string_view::npos) {
    return "";
  }
  const std::size_t begin = at + field.size();
  return std::string(head.substr(begin, head.find('\r', begin) - begin));
}

std::string raw_peer::ReadHead() {
  boost::system::error_code code;
  const std::size_t length = asio::read_until(
      socket_, asio::dynamic_buffer(received_), kHeadEnd, code);
  if (code) {
    return "";
  }
  std::string head = received_.substr(0, length);
  received_.erase(0, length);
  return head;
}

std::string raw_peer::ReadRequest() {
  std::string head = ReadHead();
  if (head.empty()) {
    return head;
  }
  boost::system::error_code code;
  const std::string body_length = HeaderOf(head, "Content-Length");
  const std::size_t body = body_length.empty() ? 0 : std::stoul(body_length);
  if (received_.size() < body) {
    asio::read(socket_, asio::dynamic_buffer(received_),
               asio::transfer_exactly(body - received_.size()), code);
  }
  received_.erase(0, body);
  return code ? "" : head;
}

bool raw_peer::Send(std::string_view bytes) {
  boost::system::error_code code;
  asio::write(socket_, asio::buffer(bytes), code);
  return !code;
}

std::size_t raw_peer::SendWithoutEnd(std::string_view bytes,
                                     std::chrono::milliseconds pause) {
  std::size_t sent = 0;
  while (Send(bytes)) {
    sent += bytes.size();
    std::this_thread::sleep_for(pause);
  }
  return sent;
}

void raw_peer::WaitForClose() {
  boost::system::error_code code;
  std::array<char, 4096> discarded;
  while (!code) {
    socket_.read_some(asio::buffer(discarded), code);
  }
}

void raw_peer::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void raw_peer::Reset() {
  boost::system::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void raw_peer::ShutSending() {
  ::shutdown(socket_.native_handle(), SHUT_WR);
}

void raw_peer::Shut() {
  ::shutdown(socket_.native_handle(), SHUT_RDWR);
}

raw_server::raw_server(script serve)
    : serve_(std::move(serve)),
      acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
      address_(
          host_address::Make("127.0.0.1", acceptor_.local_endpoint().port())),
      accepting_([this] { Accept(); }) {}

void raw_server::SetReceiveBuffer(int bytes) {
  // Accepted connections inherit it.
  acceptor_.set_option(asio::socket_base::receive_buffer_size(bytes));
}

raw_server::~raw_server() {
  stopping_ = true;
  StopListening();
  accepting_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const auto& peer : peers_) {
      peer->Shut();
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void raw_server::StopListening() {
  // Ends the blocking accept, which closing the descriptor would not.
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
}

void raw_server::Accept() {
  boost::system::error_code code;
  while (!code) {
    tcp::socket socket = acceptor_.accept(code);
    if (code || stopping_) {
      return;
    }
    ++connections_;
    socket.set_option(tcp::no_delay(true), code);
    auto peer = std::make_shared<raw_peer>(std::move(socket));
    const std::lock_guard lock(mutex_);
    peers_.push_back(peer);
    threads_.emplace_back([this, peer] {
      serve_(*peer);
      peer->Shut();
    });
  }
}

}  // namespace cardamomyard::standins
