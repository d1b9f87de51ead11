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

std::int64_t AgeMs(const admin_services& services, time_point at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             services.context->time().Now() - at)
      .count();
}

/// The answers of the entry hosts, filled in by one coroutine each on one
/// thread.
struct status_round {
  explicit status_round(const asio::any_io_executor& executor)
      : done(executor) {}
  std::vector<json::object> answers;
  std::size_t missing = 0;
  asio::steady_timer done;
};

asio::awaitable<void> AskStatus(process_context& context,
                                peer_host peer,
                                std::shared_ptr<status_round> round,
                                std::size_t index) {
  json::object& answer = round->answers[index];
  answer = {{"id", peer.id}, {"role", "entry"}, {"generation", nullptr}};
  const auto address = host_address::Parse(peer.address);
  result<std::string> body = Fail(error_kind::internal, "no address");
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
    answer["error"] = body ? "malformed answer" : body.error().message();
  }
  if (--round->missing == 0) {
    round->done.cancel();
  }
}

asio::awaitable<std::vector<json::object>> AskEntryHosts(
    admin_services& services) {
  std::vector<peer_host> peers;
  if (services.entry_hosts) {
    peers = services.entry_hosts();
  }
  const auto executor = co_await asio::this_coro::executor;
  auto round = std::make_shared<status_round>(executor);
  round->answers.resize(peers.size());
  round->missing = peers.size();
  round->done.expires_at(asio::steady_timer::time_point::max());
  for (std::size_t i = 0; i < peers.size(); ++i) {
    asio::co_spawn(executor, AskStatus(*services.context, peers[i], round, i),
                   kEndOnException);
  }
  if (round->missing > 0) {
    boost::system::error_code ignored;
    co_await round->done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return round->answers;
}

}  // namespace

asio::awaitable<admin_answer> ServeAdminBackends(admin_services& services,
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

asio::awaitable<admin_answer> ServeAdminLimits(admin_services& services,
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
      limit["homes"] = JsonLines(services.homes(*account));
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

asio::awaitable<admin_answer> ServeAdminStatus(admin_services& services,
                                               admin_call call) {
  if (call.path.size() != 1 || call.method != "GET") {
    co_return NoSuchAdminCall(call);
  }
  json::array all;
  all.push_back(json::object{{"id", services.context->settings().id},
                             {"role", "entry"},
                             {"generation", services.config->in_force()}});
  for (json::object& answer : co_await AskEntryHosts(services)) {
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
