#include "harness/kept_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <thread>
#include <utility>

namespace cardamomyard::harness {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kConnectLimit{5};

}  // namespace

std::string_view ToString(kept_call::ending how) {
  switch (how) {
    case kept_call::ending::answered:
      return "answered";
    case kept_call::ending::not_connected:
      return "not connected";
    case kept_call::ending::closed_before:
      return "closed before the request";
    case kept_call::ending::crossed:
      return "crossed the close";
    case kept_call::ending::broken_off:
      return "closed within the request";
    case kept_call::ending::unanswered:
      return "unanswered";
    case kept_call::ending::cut:
      return "cut";
  }
  return "";
}

kept_connection::kept_connection(host_address server)
    : server_(std::move(server)), stream_(context_) {}

bool kept_connection::open() {
  return stream_.socket().is_open();
}

void kept_connection::Close() {
  stream_.close();
  used_ = false;
}

bool kept_connection::Connect(std::string& failure) {
  boost::system::error_code code;
  const tcp::endpoint endpoint(asio::ip::make_address(server_.ip()),
                               server_.port());
  stream_.expires_after(kConnectLimit);
  stream_.async_connect(
      endpoint,
      [&code](const boost::system::error_code& done) { code = done; });
  context_.restart();
  context_.run();
  if (code) {
    failure = code.message();
    Close();
    return false;
  }
  stream_.socket().set_option(tcp::no_delay(true), code);
  return true;
}

bool kept_connection::PeerClosed() {
  tcp_info info{};
  socklen_t length = sizeof info;
  return ::getsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_INFO,
                      &info, &length) != 0 ||
         info.tcpi_state != TCP_ESTABLISHED;
}

kept_call kept_connection::Call(const std::vector<std::string>& segments,
                                std::chrono::milliseconds gap,
                                std::chrono::milliseconds limit) {
  kept_call call;
  call.reused = used_;
  if (open() && PeerClosed()) {
    call.how = kept_call::ending::closed_before;
    Close();
    return call;
  }
  if (!open() && !Connect(call.failure)) {
    call.how = kept_call::ending::not_connected;
    return call;
  }
  bool closed_at_start = false;
  boost::system::error_code code;
  for (std::size_t i = 0; i < segments.size() && !code; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(gap);
    }
    asio::write(stream_.socket(), asio::buffer(segments[i]), code);
    if (i == 0) {
      closed_at_start = PeerClosed();
    }
  }
  const bool peer_closed = PeerClosed();
  call.sent = std::chrono::steady_clock::now();
  stream_.expires_after(limit);
  Read(call, closed_at_start || (peer_closed && segments.size() == 1),
       code || peer_closed);
  call.ended = std::chrono::steady_clock::now();
  used_ = true;
  if (call.how != kept_call::ending::answered || call.closes) {
    Close();
  }
  return call;
}

void kept_connection::Read(kept_call& call,
                           bool closed_at_start,
                           bool closed_before_end) {
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  boost::system::error_code code;
  http::async_read(stream_, buffer, parser,
                   [&code](const boost::system::error_code& done, std::size_t) {
                     code = done;
                   });
  context_.restart();
  context_.run();
  if (parser.is_header_done()) {
    call.status = parser.get().result_int();
    for (const auto& field : parser.get()) {
      call.headers.Add(std::string(field.name_string()),
                       std::string(field.value()));
    }
    call.body = parser.get().body();
  }
  if (!code) {
    call.how = kept_call::ending::answered;
    call.closes = !parser.get().keep_alive();
    return;
  }
  call.failure = code.message();
  if (parser.got_some()) {
    call.how = kept_call::ending::cut;
  } else if (closed_at_start) {
    call.how = kept_call::ending::crossed;
  } else if (closed_before_end) {
    call.how = kept_call::ending::broken_off;
  } else {
    call.how = kept_call::ending::unanswered;
  }
}

}  // namespace cardamomyard::harness
