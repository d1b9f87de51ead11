#ifndef CARDAMOMYARD_TEST_PLATFORM_FIXTURE_H_
#define CARDAMOMYARD_TEST_PLATFORM_FIXTURE_H_

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "common/service_host.h"
#include "harness/child_process.h"
#include "harness/ports.h"
#include "harness/test_client.h"
#include "platform/platform_engine.h"
#include "platform/platform_store.h"

namespace cardamomyard {

using harness::child_process;
using std::chrono::milliseconds;

/// \brief Real gateways and workers beside a stand-in of the users' platform.
class platform_fixture : public ::testing::Test {
 protected:
  static constexpr const char* kKey = "key-of-acme";

  void SetUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("cardamomyard-platform-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
    auto store = std::make_unique<standins::platform_store>();
    store_ = store.get();
    store_host_ = std::move(*standins::service_host::Create(std::move(store)));
    for (int i = 0; i < 2; ++i) {
      AddEngine("engine-" + std::to_string(i));
    }
    Configure(1, {kKey});
  }

  void TearDown() override {
    processes_.clear();
    std::filesystem::remove_all(folder_);
  }

  void AddEngine(const std::string& id) {
    auto engine = std::make_unique<standins::platform_engine>(id, 4);
    engines_.push_back(engine.get());
    engine_hosts_.push_back(
        std::move(*standins::service_host::Create(std::move(engine))));
    RegisterEngine(id, engine_hosts_.back()->address(), "ready");
  }

  void RegisterEngine(const std::string& id,
                      const host_address& address,
                      const std::string& state) {
    store_->Put("servers", id,
                boost::json::object{{"service", "lm"},
                                    {"address", address.ToString()},
                                    {"zone", "a"},
                                    {"slots", 4},
                                    {"state", state},
                                    {"sequence", 1}});
  }

  void Configure(int version, const std::vector<std::string>& keys) {
    const auto route = [](const std::string& name, const std::string& type,
                          bool resumes) {
      return boost::json::object{{"name", name},
                                 {"host", "shop.example"},
                                 {"path-prefix", "/" + name + "/"},
                                 {"route-type", type},
                                 {"timeout-ms", 5000},
                                 {"target-latency-ms", 300},
                                 {"gap-aim-ms", 250},
                                 {"completion-target-ms", 18000},
                                 {"retention-s", 60},
                                 {"service", "lm"},
                                 {"max-attempts", resumes ? 3 : 1},
                                 {"can-resume", resumes}};
    };
    boost::json::array api_keys(keys.begin(), keys.end());
    store_->Put(
        "config", "main",
        boost::json::object{
            {"version", version},
            {"routes", boost::json::array{route("ask", "streaming", true),
                                          route("draft", "streaming", false),
                                          route("lots", "batch", true)}},
            {"services", boost::json::array{}},
            {"tenants", boost::json::array{boost::json::object{
                            {"name", "acme"},
                            {"api-keys", std::move(api_keys)},
                            {"rate-per-s", 100},
                            {"burst", 100}}}}});
  }

  struct host {
    std::string name;
    host_address front = host_address::Make("0.0.0.0", 0);
    host_address ready = host_address::Make("0.0.0.0", 0);
    child_process* process = nullptr;
  };

  host Start(const std::string& role, const std::string& name) {
    host made;
    made.name = name;
    made.front = *harness::ReserveAddress();
    made.ready = *harness::ReserveAddress();
    const host_address control = *harness::ReserveAddress();
    boost::json::object listen;
    if (role == "gateway") {
      listen = {{"front", made.front.ToString()},
                {"ready", made.ready.ToString()}};
    }
    listen["control"] = control.ToString();
    boost::json::array seeds(seeds_.begin(), seeds_.end());
    const boost::json::object settings{
        {"node-name", name},
        {"zone", "a"},
        {"ip", control.ip()},
        {"port-range", boost::json::array{control.port()}},
        {"listen", std::move(listen)},
        {"seeds", std::move(seeds)},
        {"bootstrap", true},
        {"bounds", boost::json::object{{"grace-s", 8}, {"drain-ms", 2000}}},
        {"platform",
         boost::json::object{{"address", store_host_->address().ToString()}}}};
    const std::string file = (folder_ / (name + ".json")).string();
    std::ofstream(file) << boost::json::serialize(settings);
    seeds_.push_back(control.ToString());
    harness::child_command command;
    command.program = "cardamomyard";
    command.arguments = {role, "--settings", file};
    command.log_file = (folder_ / (name + ".log")).string();
    processes_.push_back(std::move(*child_process::Start(command)));
    made.process = processes_.back().get();
    return made;
  }

  static bool Eventually(const std::function<bool()>& holds,
                         milliseconds limit = milliseconds(10'000)) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
  }

  host StartGateway(const std::string& name) {
    host made = Start("gateway", name);
    EXPECT_TRUE(Eventually([&] {
      http_request request;
      request.target = "/v1/ready";
      return client_.Call(made.ready, request, milliseconds(500)).status == 200;
    })) << "the gateway never became ready:\n"
        << Log(name);
    return made;
  }

  http_request Request(const std::string& method,
                       const std::string& target,
                       const std::string& id,
                       const std::string& body = "",
                       const std::string& key = kKey) {
    http_request request;
    request.method = method;
    request.target = target;
    request.headers.Add("Host", "shop.example");
    request.headers.Add("Request-Id", id);
    request.headers.Add("Deadline-Ms", "5000");
    if (!key.empty()) {
      request.headers.Add("Authorization", "Token " + key);
    }
    request.body = body;
    return request;
  }

  std::string Submission(int items, const std::string& prefix) {
    boost::json::array list;
    for (int i = 0; i < items; ++i) {
      const std::string body = i == 0 ? "impossible" : "do it";
      list.push_back(
          boost::json::object{{"id", prefix + "-" + std::to_string(i)},
                              {"path", "/lots/1/x"},
                              {"headers", boost::json::object{{"Model", "m"}}},
                              {"body", Base64Encode(body)},
                              {"tokens", 100}});
    }
    return boost::json::serialize(
        boost::json::object{{"items", std::move(list)}});
  }

  boost::json::object Results(const host& gateway,
                              const std::string& job,
                              int after = 0) {
    http_request request = Request(
        "GET", "/v1/lots/" + job + "?after=" + std::to_string(after), "read");
    const auto answer = client_.Call(gateway.front, request);
    if (answer.status != 200) {
      return {};
    }
    return boost::json::parse(answer.body).as_object();
  }

  bool AllListed(const host& gateway, const std::string& job, int items) {
    return Eventually(
        [&] {
          const auto results = Results(gateway, job);
          return results.contains("next") &&
                 results.at("next").to_number<int>() == items;
        },
        milliseconds(20'000));
  }

  std::string Log(const std::string& name) {
    std::ifstream file(folder_ / (name + ".log"));
    return {std::istreambuf_iterator<char>(file), {}};
  }

  static std::string WholeText() {
    std::string text;
    for (int i = 1; i <= standins::platform_engine::kEvents; ++i) {
      text += (i == 1 ? "" : "\n") + standins::platform_engine::Event(i);
    }
    return text;
  }

  std::filesystem::path folder_;
  standins::platform_store* store_ = nullptr;
  std::unique_ptr<standins::service_host> store_host_;
  std::vector<standins::platform_engine*> engines_;
  std::vector<std::unique_ptr<standins::service_host>> engine_hosts_;
  std::vector<std::string> seeds_;
  std::vector<std::unique_ptr<child_process>> processes_;
  harness::test_client client_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_TEST_PLATFORM_FIXTURE_H_
