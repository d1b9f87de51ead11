#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cardamomyard/telemetry.h"
#include "src/node/control_client.h"
#include "src/node/entry/admin_call.h"
#include "src/node/entry/admin_json.h"
#include "src/node/internal_api.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr std::chrono::milliseconds kStatusTimeout{500};

const char* StateName(std::int32_t state) {
  switch (static_cast<backend_state>(state)) {
    case backend_state::starting:
      return "starting";
    case backend_state::serving:
      return "serving";
    case backend_state::draining:
      return "draining";
    case backend_state::down:
      return "down";
  }
  return "unknown";
}

std::int64_t AgeMs(const admin_services& services, time_point since) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             services.context->time().Now() - since)
      .count();
}

/// One status query to all other entry hosts. One coroutine per host fills in
/// its response; all of them run on the same thread.
struct status_poll {
  explicit status_poll(const asio::any_io_executor& executor)
      : done(executor) {}
  std::vector<json::object> answers;
  std::size_t pending = 0;
  asio::steady_timer done;
};

asio::awaitable<void> PollStatus(process_context& context,
                                 peer_host peer,
                                 std::shared_ptr<status_poll> poll,
                                 std::size_t index) {
  json::object& answer = poll->answers[index];
  answer = {{"id", peer.id}, {"role", "entry"}, {"generation", nullptr}};
  const auto address = host_address::Parse(peer.address);
  result<std::string> body =
      Fail(error_kind::internal, "the entry host has no valid address");
  if (address) {
    std::string target(internal_api::kStatus);
    body = co_await CallProcess(context, *address, "GET", std::move(target), "",
                                kStatusTimeout);
  }
  boost::system::error_code code;
  const json::value parsed = body ? json::parse(*body, code) : json::value();
  const json::value* generation =
      parsed.is_object() ? parsed.get_object().if_contains("generation")
                         : nullptr;
  if (generation != nullptr) {
    answer["generation"] = *generation;
  } else {
    answer["error"] =
        body ? "malformed status response" : body.error().message();
  }
  if (--poll->pending == 0) {
    poll->done.cancel();
  }
}

asio::awaitable<std::vector<json::object>> PollEntryHosts(
    admin_services& services) {
  std::vector<peer_host> peers;
  if (services.entry_hosts) {
    peers = services.entry_hosts();
  }
  const auto executor = co_await asio::this_coro::executor;
  auto poll = std::make_shared<status_poll>(executor);
  poll->answers.resize(peers.size());
  poll->pending = peers.size();
  poll->done.expires_at(asio::steady_timer::time_point::max());
  for (std::size_t i = 0; i < peers.size(); ++i) {
    asio::co_spawn(executor, PollStatus(*services.context, peers[i], poll, i),
                   kEndOnException);
  }
  if (poll->pending > 0) {
    boost::system::error_code ignored;
    co_await poll->done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return poll->answers;
}

}  // namespace

asio::awaitable<admin_response> ServeAdminBackends(admin_services& services,
                                                   admin_call call) {
  if (call.path.size() != 1 || call.method != "GET") {
    co_return NoSuchAdminCall(call);
  }
  json::array all;
  for (const auto& heard : services.backends->Heard()) {
    const heartbeat& message = heard.message;
    all.push_back(json::object{{"id", message.id},
                               {"deployment", message.deployment},
                               {"zone", message.zone},
                               {"address", message.address},
                               {"state", StateName(message.state)},
                               {"queue", message.queue_length},
                               {"running", message.running},
                               {"batch_running", message.batch_running},
                               {"step_us", message.step_time.count()},
                               {"heard_ms_ago", AgeMs(services, heard.at)},
                               {"generation", message.generation}});
  }
  co_return json::serialize(json::object{{"data", std::move(all)}});
}

asio::awaitable<admin_response> ServeAdminLimits(admin_services& services,
                                                 admin_call call) {
  if (call.path.size() != 1 || call.method != "GET") {
    co_return NoSuchAdminCall(call);
  }
  const auto view = services.config->view();
  const configuration content = view ? view->content() : configuration();
  json::array accounts;
  for (const account_config* account : content.All<account_config>()) {
    json::object limit{{"account", account->name},
                       {"rate_per_second", account->rate_per_second},
                       {"burst", account->burst},
                       {"weight", account->weight}};
    if (services.homes) {
      limit["homes"] = ToJsonArray(services.homes(*account));
    }
    accounts.push_back(std::move(limit));
  }
  json::array routes;
  for (const route_config* route : content.All<route_config>()) {
    if (route->open) {
      routes.push_back(
          json::object{{"route", route->name},
                       {"rate_per_second", route->open_rate_per_second},
                       {"burst", route->open_burst}});
    }
  }
  const json::object answer{{"accounts", std::move(accounts)},
                            {"open_routes", std::move(routes)}};
  co_return json::serialize(answer);
}

asio::awaitable<admin_response> ServeAdminStatus(admin_services& services,
                                                 admin_call call) {
  if (call.path.size() != 1 || call.method != "GET") {
    co_return NoSuchAdminCall(call);
  }
  json::array all;
  all.push_back(json::object{{"id", services.context->settings().id},
                             {"role", "entry"},
                             {"generation", services.config->in_force()}});
  for (json::object& answer : co_await PollEntryHosts(services)) {
    all.push_back(std::move(answer));
  }
  for (const auto& heard : services.backends->Heard()) {
    all.push_back(json::object{{"id", heard.message.id},
                               {"role", "sidecar"},
                               {"generation", heard.message.generation},
                               {"heard_ms_ago", AgeMs(services, heard.at)}});
  }
  co_return json::serialize(json::object{{"processes", std::move(all)}});
}

}  // namespace cardamomyard
