#include "relay/relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <vector>

namespace cardamomyard::standins {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kUseResult = asio::as_tuple(asio::use_awaitable);
/// How soon a lifted cut takes effect.
constexpr std::chrono::milliseconds kCutPoll{5};
constexpr std::size_t kPieceBytes = 64 * 1024;

/// The two sockets of one forwarded connection.
struct link {
  explicit link(asio::io_context& context, tcp::socket accepted)
      : client(std::move(accepted)), target(context) {}
  tcp::socket client;
  tcp::socket target;
};

/// State that connections share with the relay; outlives both.
struct relay_state {
  relay_cut cut = relay_cut::none;
  std::chrono::milliseconds delay{0};
  std::set<std::shared_ptr<link>> links;
};

bool IsCut(relay_cut cut, bool to_target) {
  return cut == relay_cut::both ||
         cut == (to_target ? relay_cut::to_target : relay_cut::to_client);
}

void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

asio::awaitable<void> Forward(std::shared_ptr<relay_state> state,
                              std::shared_ptr<link> connection,
                              bool to_target) {
  tcp::socket& from = to_target ? connection->client : connection->target;
  tcp::socket& to = to_target ? connection->target : connection->client;
  std::vector<char> piece(kPieceBytes);
  while (true) {
    auto [code, bytes] =
        co_await from.async_read_some(asio::buffer(piece), kUseResult);
    if (state->delay.count() > 0) {
      co_await SleepFor(state->delay);
    }
    // The end of a connection is held back like its bytes.
    while (IsCut(state->cut, to_target) && to.is_open()) {
      co_await SleepFor(kCutPoll);
    }
    boost::system::error_code ignored;
    if (code == asio::error::eof) {
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (code) {
      Reset(to);
      co_return;
    }
    auto [write_code, written] = co_await asio::async_write(
        to, asio::buffer(piece.data(), bytes), kUseResult);
    if (write_code) {
      Reset(from);
      co_return;
    }
  }
}

asio::awaitable<void> ForwardToClient(std::shared_ptr<relay_state> state,
                                      std::shared_ptr<link> connection) {
  co_await Forward(state, connection, false);
  // The target is done, and so is the connection as a whole for HTTP.
  state->links.erase(connection);
}

asio::awaitable<void> RunLink(std::shared_ptr<relay_state> state,
                              std::shared_ptr<link> connection,
                              tcp::endpoint target) {
  state->links.insert(connection);
  while (IsCut(state->cut, true) && connection->client.is_open()) {
    co_await SleepFor(kCutPoll);
  }
  auto [code] = co_await connection->target.async_connect(target, kUseResult);
  boost::system::error_code ignored;
  if (code || !connection->client.is_open()) {
    Reset(connection->client);
    state->links.erase(connection);
    co_return;
  }
  connection->client.set_option(tcp::no_delay(true), ignored);
  connection->target.set_option(tcp::no_delay(true), ignored);
  const auto executor = co_await asio::this_coro::executor;
  asio::co_spawn(executor, ForwardToClient(state, connection), asio::detached);
  co_await Forward(state, connection, true);
}

class relay_impl final : public relay {
 public:
  relay_impl(asio::io_context& context, tcp::endpoint target)
      : context_(context), target_(std::move(target)) {}

  result<void> Listen(const tcp::endpoint& endpoint) {
    acceptor_ = std::make_shared<tcp::acceptor>(context_);
    boost::system::error_code code;
    acceptor_->open(endpoint.protocol(), code);
    if (!code) {
      acceptor_->set_option(tcp::acceptor::reuse_address(true), code);
    }
    if (!code) {
      acceptor_->bind(endpoint, code);
    }
    if (!code) {
      acceptor_->listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
      acceptor_->close();
      return Fail(error_kind::internal, "cannot listen: " + code.message());
    }
    endpoint_ = acceptor_->local_endpoint();
    asio::co_spawn(context_, Accept(acceptor_, state_, target_),
                   asio::detached);
    return {};
  }

  host_address address() const override {
    return host_address::Make(endpoint_.address().to_string(),
                              endpoint_.port());
  }

  std::size_t connections() const override { return state_->links.size(); }

  void SetDelay(std::chrono::milliseconds delay) override {
    state_->delay = delay;
  }

  void SetCut(relay_cut cut) override {
    state_->cut = cut;
    if (cut == relay_cut::refuse) {
      acceptor_->close();
      for (const auto& connection : state_->links) {
        Reset(connection->client);
        Reset(connection->target);
      }
      state_->links.clear();
    } else if (!acceptor_->is_open()) {
      asio::co_spawn(context_, ListenAgain(), asio::detached);
    }
  }

 private:
  static asio::awaitable<void> Accept(std::shared_ptr<tcp::acceptor> acceptor,
                                      std::shared_ptr<relay_state> state,
                                      tcp::endpoint target) {
    while (acceptor->is_open()) {
      auto [code, socket] = co_await acceptor->async_accept(kUseResult);
      if (code == asio::error::operation_aborted) {
        co_return;
      }
      if (code) {
        co_await SleepFor(kCutPoll);
        continue;
      }
      auto& context =
          static_cast<asio::io_context&>(acceptor->get_executor().context());
      auto connection = std::make_shared<link>(context, std::move(socket));
      asio::co_spawn(acceptor->get_executor(),
                     RunLink(state, std::move(connection), target),
                     asio::detached);
    }
  }

  asio::awaitable<void> ListenAgain() {
    while (state_->cut != relay_cut::refuse && !acceptor_->is_open() &&
           !Listen(endpoint_)) {
      co_await SleepFor(std::chrono::milliseconds(20));
    }
  }

  asio::io_context& context_;
  tcp::endpoint target_;
  tcp::endpoint endpoint_;
  std::shared_ptr<tcp::acceptor> acceptor_;
  std::shared_ptr<relay_state> state_ = std::make_shared<relay_state>();
};

}  // namespace

std::optional<relay_cut> ParseRelayCut(std::string_view name) {
  if (name == "none") {
    return relay_cut::none;
  }
  if (name == "both") {
    return relay_cut::both;
  }
  if (name == "to_target") {
    return relay_cut::to_target;
  }
  if (name == "to_client") {
    return relay_cut::to_client;
  }
  if (name == "refuse") {
    return relay_cut::refuse;
  }
  return std::nullopt;
}

result<std::unique_ptr<relay>> relay::Create(asio::io_context& context,
                                             const host_address& listen,
                                             const host_address& target) {
  const auto endpoint = [](const host_address& address) {
    return tcp::endpoint(asio::ip::make_address(address.ip()), address.port());
  };
  auto created = std::make_unique<relay_impl>(context, endpoint(target));
  if (auto listening = created->Listen(endpoint(listen)); !listening) {
    return Fail(listening.error());
  }
  return created;
}

}  // namespace cardamomyard::standins
