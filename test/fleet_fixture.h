#ifndef CARDAMOMYARD_TEST_FLEET_FIXTURE_H_
#define CARDAMOMYARD_TEST_FLEET_FIXTURE_H_

#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "harness/fleet.h"
#include "harness/wait_until.h"

namespace cardamomyard::harness {

inline constexpr const char* kChatPath = "/v1/chat/completions";

/// \returns the body of a chat completion for the model `lm`.
inline std::string ChatBody(const std::string& prompt,
                            int max_tokens = 8,
                            bool stream = false) {
  return R"({"model":"lm","messages":[{"role":"user","content":")" + prompt +
         R"("}],"max_tokens":)" + std::to_string(max_tokens) +
         (stream ? R"(,"stream":true})" : "}");
}

inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// \brief A stream that runs on a thread of its own.
struct running_stream {
  std::shared_ptr<std::atomic<bool>> started =
      std::make_shared<std::atomic<bool>>(false);
  std::future<stream_answer> answer;
};

/// \brief Runs a fleet; keeps its logs when the test fails.
class FleetTest : public ::testing::Test {
 protected:
  /// Starts engines of the model `lm` and services `app`.
  void Start(fleet_options options) {
    auto started = fleet::Start(std::move(options));
    ASSERT_TRUE(started) << started.error().message();
    fleet_ = std::move(*started);
  }
  static backend_group Engines(int count, std::vector<std::string> flags = {}) {
    return {"lm", false, count, std::move(flags), {}};
  }
  static backend_group Services(int count,
                                std::vector<std::string> flags = {}) {
    return {"app", true, count, std::move(flags), {}};
  }

  void TearDown() override {
    if (fleet_ != nullptr && HasFailure()) {
      fleet_->set_keep_folder(true);
      std::cerr << "logs: " << fleet_->folder() << "\n";
    }
  }

  http_response Send(http_request request, std::size_t entry = 0) {
    return fleet_->http().Call(fleet_->entry(entry).address,
                               std::move(request));
  }
  http_response Chat(const std::string& body, std::size_t entry = 0) {
    return Send(JsonRequest("POST", kChatPath, body, fleet_->key("acme")),
                entry);
  }
  /// Starts a stream and waits for its first piece.
  running_stream BeginStream(const std::string& body, std::size_t entry = 0) {
    running_stream running;
    running.answer = std::async(
        std::launch::async, [this, body, entry, started = running.started] {
          return fleet_->http().Stream(
              fleet_->entry(entry).address,
              JsonRequest("POST", kChatPath, body, fleet_->key("acme")),
              [started](std::string_view /*piece*/) {
                *started = true;
                return true;
              });
        });
    EXPECT_TRUE(WaitUntil([&running] { return running.started->load(); }));
    return running;
  }
  double EngineStat(const std::string& name, std::size_t index = 0) {
    return fleet_->Stat(fleet_->backend("lm", index), {name});
  }
  /// Health probes count as calls, so calls are counted by their id.
  double ServiceCalls(const std::string& call_id) {
    return fleet_->Stat(fleet_->backend("app"), {"by_call", call_id});
  }

  std::unique_ptr<fleet> fleet_;
};

}  // namespace cardamomyard::harness

#endif  // CARDAMOMYARD_TEST_FLEET_FIXTURE_H_
