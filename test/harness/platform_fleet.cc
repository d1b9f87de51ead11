#include "harness/platform_fleet.h"

#include <unistd.h>

#include <atomic>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "harness/ports.h"

namespace cardamomyard::harness {
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPoll{10};
constexpr milliseconds kReadyCall{500};
constexpr milliseconds kListedWithin{20'000};

std::filesystem::path NewFolder() {
  static std::atomic<int> count{0};
  std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("cardamomyard-platform-" + std::to_string(::getpid()) + "-" +
       std::to_string(++count));
  std::filesystem::create_directories(folder);
  return folder;
}

}  // namespace

json::object platform_fleet::MakeRoute(const std::string& name,
                                       const std::string& type,
                                       bool resumes,
                                       const std::string& service) {
  return {{"name", name},
          {"host", "shop.example"},
          {"path-prefix", "/" + name + "/"},
          {"route-type", type},
          {"timeout-ms", 5000},
          {"target-latency-ms", 300},
          {"gap-aim-ms", 250},
          {"completion-target-ms", 18000},
          {"retention-s", 60},
          {"service", service},
          {"max-attempts", resumes ? 3 : 1},
          {"can-resume", resumes}};
}

platform_fleet::platform_fleet(const platform_size& size)
    : size_(size), folder_(NewFolder()) {
  auto store = std::make_unique<standins::platform_store>();
  store_ = store.get();
  store_host_ = standins::service_host::Create(std::move(store)).value();
  for (int i = 0; i < size_.engines; ++i) {
    AddEngine("engine-" + std::to_string(i));
  }
  Configure(1, {kKey});
}

platform_fleet::~platform_fleet() {
  processes_.clear();
  std::error_code ignored;  // A folder that stays does no harm.
  std::filesystem::remove_all(folder_, ignored);
}

void platform_fleet::AddEngine(const std::string& id) {
  auto engine = std::make_unique<standins::platform_engine>(id, size_.slots);
  engines_.push_back(engine.get());
  engine_hosts_.push_back(
      std::move(*standins::service_host::Create(std::move(engine))));
  RegisterEngine(id, engine_hosts_.back()->address(), "ready");
}

void platform_fleet::RegisterEngine(const std::string& id,
                                    const host_address& address,
                                    const std::string& state,
                                    const std::string& service) {
  store_->Put("servers", id,
              json::object{{"service", service},
                           {"address", address.ToString()},
                           {"zone", "a"},
                           {"slots", size_.slots},
                           {"state", state},
                           {"sequence", 1}});
}

void platform_fleet::Configure(int version,
                               const std::vector<std::string>& keys) {
  json::array routes{MakeRoute("ask", "streaming", true),
                     MakeRoute("draft", "streaming", false),
                     MakeRoute("lots", "batch", true)};
  routes.insert(routes.end(), added_routes_.begin(), added_routes_.end());
  for (json::value& route : routes) {
    route.as_object()["timeout-ms"] = size_.time_limit.count();
  }
  Configure(version, keys, routes, {});
}

void platform_fleet::Configure(int version,
                               const std::vector<std::string>& keys,
                               const json::array& routes,
                               const json::object& limits) {
  json::array api_keys(keys.begin(), keys.end());
  json::object spec{
      {"version", version},
      {"routes", routes},
      {"services", services_},
      {"tenants", json::array{json::object{{"name", "acme"},
                                           {"api-keys", std::move(api_keys)},
                                           {"rate-per-s", size_.rate_per_s},
                                           {"burst", size_.rate_per_s}}}}};
  if (!limits.empty()) {
    spec["limits"] = limits;
  }
  store_->Put("config", "main", std::move(spec));
}

void platform_fleet::AddBatchRoute(const std::string& name,
                                   const std::string& service) {
  added_routes_.push_back(MakeRoute(name, "batch", true, service));
}

platform_fleet::host platform_fleet::Start(
    const std::string& role,
    const std::string& name,
    const std::vector<std::string>& flags) {
  host made;
  made.name = name;
  made.front = *ReserveAddress();
  made.ready = *ReserveAddress();
  const host_address control = *ReserveAddress();
  made.internal = control;
  json::object listen;
  if (role == "gateway") {
    listen = {{"front", made.front.ToString()},
              {"ready", made.ready.ToString()}};
  }
  listen["control"] = control.ToString();
  json::array seeds(seeds_.begin(), seeds_.end());
  json::object bounds{{"grace-s", 8}, {"drain-ms", 2000}};
  bounds.insert(bounds_.begin(), bounds_.end());
  const json::object settings{
      {"node-name", name},
      {"zone", "a"},
      {"ip", control.ip()},
      {"port-range", json::array{control.port()}},
      {"listen", std::move(listen)},
      {"seeds", std::move(seeds)},
      {"bootstrap", true},
      {"limits", limits_},
      {"bounds", std::move(bounds)},
      {"platform", json::object{{"address", store_host_->address().ToString()},
                                {"value-bytes", value_bytes_}}}};
  const std::string file = (folder_ / (name + ".json")).string();
  std::ofstream(file) << json::serialize(settings);
  seeds_.push_back(control.ToString());
  child_command command;
  command.program = "cardamomyard";
  command.arguments = {role, "--settings", file};
  command.arguments.insert(command.arguments.end(), flags.begin(), flags.end());
  command.log_file = (folder_ / (name + ".log")).string();
  auto started = child_process::Start(command);
  if (!started) {
    throw std::runtime_error(started.error().message());
  }
  processes_.push_back(std::move(*started));
  made.process = processes_.back().get();
  return made;
}

void platform_fleet::StartAgain(host& ended) {
  auto started = child_process::Start(ended.process->command());
  if (!started) {
    throw std::runtime_error(started.error().message());
  }
  processes_.push_back(std::move(*started));
  ended.process = processes_.back().get();
}

bool platform_fleet::Ready(const host& gateway) {
  http_request request;
  request.target = "/v1/ready";
  return client_.Call(gateway.ready, request, kReadyCall).status == 200;
}

http_request platform_fleet::Request(const std::string& method,
                                     const std::string& target,
                                     const std::string& id,
                                     const std::string& body,
                                     const std::string& key) const {
  http_request request;
  request.method = method;
  request.target = target;
  request.headers.Add("Host", "shop.example");
  request.headers.Add("Request-Id", id);
  request.headers.Add("Deadline-Ms", std::to_string(size_.time_limit.count()));
  if (!key.empty()) {
    request.headers.Add("Authorization", "Token " + key);
  }
  request.body = body;
  return request;
}

http_response platform_fleet::Submit(const host& gateway,
                                     const std::string& job,
                                     int items,
                                     const std::string& prefix,
                                     const std::string& route) {
  json::array list;
  for (int i = 0; i < items; ++i) {
    const std::string body = i == 0 ? "impossible" : "do it";
    list.push_back(json::object{{"id", prefix + "-" + std::to_string(i)},
                                {"path", "/" + route + "/1/x"},
                                {"headers", json::object{{"Model", "m"}}},
                                {"body", Base64Encode(body)},
                                {"tokens", 100}});
  }
  return client_.Call(
      gateway.front,
      Request("POST", MakeTarget({route, job}), job,
              json::serialize(json::object{{"items", std::move(list)}})));
}

json::object platform_fleet::Results(const host& gateway,
                                     const std::string& job,
                                     int after) {
  const std::string position = std::to_string(after);
  const auto answer = client_.Call(
      gateway.front,
      Request("GET", MakeTarget({"v1", "lots", job}, {{"after", position}}),
              "read"));
  if (answer.status != 200) {
    return {};
  }
  return json::parse(answer.body).as_object();
}

bool platform_fleet::AllListed(const host& gateway,
                               const std::string& job,
                               int items) {
  return Eventually(
      [&] {
        const auto results = Results(gateway, job);
        return results.contains("next") &&
               results.at("next").to_number<int>() == items;
      },
      kListedWithin);
}

std::size_t platform_fleet::Runs(const std::string& part) {
  std::size_t count = 0;
  for (standins::platform_engine* engine : engines_) {
    for (const auto& [id, runs] : engine->runs()) {
      if (id.find(part) != std::string::npos) {
        count += static_cast<std::size_t>(runs);
      }
    }
  }
  return count;
}

std::string platform_fleet::Log(const std::string& name) const {
  std::ifstream file(folder_ / (name + ".log"));
  return {std::istreambuf_iterator<char>(file), {}};
}

bool platform_fleet::Logged(const std::string& name,
                            const std::string& message,
                            const std::string& field) const {
  std::ifstream file(folder_ / (name + ".log"));
  for (std::string line; std::getline(file, line);) {
    if (line.find(message) != std::string::npos &&
        line.find(field) != std::string::npos) {
      return true;
    }
  }
  return false;
}

bool platform_fleet::Eventually(const std::function<bool()>& holds,
                                milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace cardamomyard::harness
