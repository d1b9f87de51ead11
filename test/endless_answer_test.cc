// Servers that send bytes without end, in each part of an answer.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fleet_fixture.h"
#include "harness/client_crowd.h"
#include "platform_fixture.h"
#include "raw/raw_server.h"

namespace cardamomyard {
namespace {

using harness::PeakMegabytes;
using standins::HeaderOf;
using standins::raw_peer;
using standins::raw_server;

constexpr std::size_t kMemoryMegabytes = 64;
constexpr int kCallers = 12;
// A caller leaves after this much of a body.
constexpr std::size_t kEnoughBytes = 1U << 20U;

/// An answer that begins with \p begin and goes on with \p repeated.
struct endless_answer {
  const char* part;
  std::string begin;
  std::string repeated;
};

/// \param fields  of a head that a host takes for a sound one.
std::vector<endless_answer> EndlessAnswers(const std::string& fields) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string many(10'000, 'x');
  return {
      {"status line", "HTTP/1.1 200 ", many},
      {"no HTTP", "", many},
      {"one field", head + "X: ", many},
      {"fields", head, "X: v\r\n"},
      {"interim answers", "", "HTTP/1.1 103 Early Hints\r\nX: v\r\n\r\n"},
      {"body without length", head + "\r\n", many},
      {"body with length", head + "Content-Length: 99999999999\r\n\r\n", many},
      {"chunks", chunked, "2710\r\n" + many + "\r\n"},
      {"chunk size", chunked, "0000000000"},
      {"chunk extension", chunked + "4", ";" + many},
      {"trailers", chunked + "4\r\nbody\r\n0\r\n", "X: v\r\n"},
  };
}

/// Ends a call once enough of a body has come.
std::function<bool(std::string_view)> UntilEnough() {
  return [got = std::size_t{0}](std::string_view piece) mutable {
    got += piece.size();
    return got < kEnoughBytes;
  };
}

class client_memory_answers : public platform_fixture {
 protected:
  client_memory_answers() : platform_fixture({.rate_per_s = 10'000}) {
    SetMachineLimits(kMemoryMegabytes, 400);
    AddBatchRoute("night", "trouble");
    boost::json::array routes{MakeRoute("ask", "streaming", true),
                              MakeRoute("lots", "batch", true),
                              MakeRoute("night", "batch", true, "trouble"),
                              MakeRoute("note", "idempotent", false, "trouble"),
                              MakeRoute("tell", "streaming", false, "trouble")};
    Configure(2, {kKey}, routes, {});
  }

  void Serve(const std::string& part) {
    server_ = std::make_unique<raw_server>([this, part](raw_peer& peer) {
      const std::string id = HeaderOf(peer.ReadRequest(), "Request-Id");
      if (id.empty()) {
        return;
      }
      ++asked_;
      const auto answers =
          EndlessAnswers("Request-Id: " + id + "\r\nResponse-Signature: s\r\n");
      const auto answer = std::ranges::find_if(
          answers, [&](const auto& each) { return each.part == part; });
      peer.Send(answer->begin);
      peer.SendWithoutEnd(answer->repeated);
    });
    RegisterEngine("endless", server_->address(), "ready", "trouble");
  }

  std::atomic<int> asked_{0};
  std::unique_ptr<raw_server> server_;
};

// A host that kept what such a server sent ran out of memory, and the requests
// of all other clients ended with it.
TEST_F(client_memory_answers, WithoutEndTakeBoundedMemoryAtAGateway) {
  for (const endless_answer& form : EndlessAnswers("")) {
    Serve(form.part);
    const host gateway = StartGateway("g-" + std::to_string(asked_));
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      const std::string path = i % 2 == 0 ? "/note/1" : "/tell/1";
      callers.emplace_back([&, path, i] {
        const auto answer = client().Stream(
            gateway.front,
            Request("POST", path, gateway.name + std::to_string(i), "x"),
            UntilEnough());
        EXPECT_FALSE(answer.status == 200 && answer.whole) << form.part;
      });
    }
    const auto ordinary = client().Stream(
        gateway.front, Request("POST", "/ask/1", gateway.name, "hi"));
    EXPECT_EQ(ordinary.status, 200) << form.part;
    EXPECT_TRUE(ordinary.whole) << form.part << ordinary.failure;
    for (std::thread& caller : callers) {
      caller.join();
    }
    ASSERT_TRUE(gateway.process->Running()) << form.part << Log(gateway.name);
    EXPECT_LE(PeakMegabytes(gateway.process->pid()), kMemoryMegabytes)
        << form.part;
    EXPECT_TRUE(Logged(gateway.name, "A server broke off a request.",
                       "\"backend\":\"endless\""))
        << form.part << Log(gateway.name);
    gateway.process->Kill();
  }
}

TEST_F(client_memory_answers, WithoutEndTakeBoundedMemoryAtAWorker) {
  const host gateway = StartGateway("g");
  const host worker = StartWorker("w", gateway);
  for (const endless_answer& form : EndlessAnswers("")) {
    Serve(form.part);
    const int before = asked_;
    const std::string job = "job-" + std::to_string(before);
    ASSERT_EQ(Submit(gateway, job, 4, job, "night").status, 202);
    EXPECT_TRUE(Eventually([&] { return asked_ > before + 1; })) << form.part;
    const std::string sound = "sound-" + std::to_string(before);
    ASSERT_EQ(Submit(gateway, sound, 4, sound).status, 202);
    EXPECT_TRUE(AllListed(gateway, sound, 4)) << form.part << Log("w");
    ASSERT_TRUE(worker.process->Running()) << form.part << Log("w");
    EXPECT_LE(PeakMegabytes(worker.process->pid()), kMemoryMegabytes)
        << form.part;
    EXPECT_TRUE(Results(gateway, job).at("results").as_array().empty())
        << form.part;
    EXPECT_EQ(client()
                  .Call(gateway.front,
                        Request("DELETE", "/v1/lots/" + job, "end-" + job))
                  .status,
              200);
  }
}

}  // namespace

namespace harness {
namespace {

constexpr const char* kSoundAnswer =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";

class client_memory_service : public FleetTest {
 protected:
  void SetUp() override {
    ::setenv("CARDAMOMYARD_MEMORY_MB", std::to_string(kMemoryMegabytes).c_str(),
             1);
    server_ = std::make_unique<raw_server>([this](raw_peer& peer) {
      const std::string head = peer.ReadRequest();
      if (head.empty() || head.starts_with("GET /healthz")) {
        peer.Send(kSoundAnswer);
        return;
      }
      ++asked_;
      endless_answer answer;
      {
        const std::lock_guard lock(mutex_);
        answer = answer_;
      }
      peer.Send(answer.begin);
      if (!answer.repeated.empty()) {
        peer.SendWithoutEnd(answer.repeated);
      }
    });
    answer_ = {"", kSoundAnswer, ""};
    Start({.entry_hosts = 1, .groups = {Services(1), Engines(1)}});
    fleet_member& sidecar = fleet_->sidecar("app");
    std::vector<std::string>& arguments = sidecar.command.arguments;
    const auto flag = std::ranges::find(arguments, "--backend");
    ASSERT_NE(flag, arguments.end());
    *(flag + 1) = server_->address().ToString();
    sidecar.process->Kill();
    ASSERT_TRUE(fleet_->Restart(sidecar));
    ASSERT_TRUE(WaitUntil([this] {
      Call();
      return asked_ > 0;
    }));
  }
  void TearDown() override {
    ::unsetenv("CARDAMOMYARD_MEMORY_MB");
    FleetTest::TearDown();
  }

  stream_answer Call() {
    return fleet_->http().Stream(
        fleet_->entry(0).address,
        JsonRequest("POST", "/app/x", "{}", fleet_->key("acme")),
        UntilEnough());
  }

  std::atomic<int> asked_{0};
  std::mutex mutex_;
  endless_answer answer_;
  std::unique_ptr<raw_server> server_;
};

// The same for an entry host and the sidecar beside the server.
TEST_F(client_memory_service, AnswersWithoutEndTakeBoundedMemory) {
  for (const endless_answer& form : EndlessAnswers("")) {
    {
      const std::lock_guard lock(mutex_);
      answer_ = form;
    }
    const int before = asked_;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&] {
        const stream_answer answer = Call();
        EXPECT_FALSE(answer.status == 200 && answer.whole) << form.part;
      });
    }
    const http_response ordinary = Chat(ChatBody("hello"));
    EXPECT_EQ(ordinary.status, 200) << form.part << ordinary.body;
    for (std::thread& caller : callers) {
      caller.join();
    }
    EXPECT_GT(asked_, before) << form.part;
    for (fleet_member* member : {&fleet_->entry(0), &fleet_->sidecar("app")}) {
      ASSERT_TRUE(member->process->Running()) << form.part;
      EXPECT_LE(PeakMegabytes(member->process->pid()), kMemoryMegabytes)
          << form.part;
    }
  }
}

}  // namespace
}  // namespace harness
}  // namespace cardamomyard
