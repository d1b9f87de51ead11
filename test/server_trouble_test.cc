// Gateways and workers beside backend servers in trouble.
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness/client_crowd.h"
#include "platform_fixture.h"
#include "raw/raw_server.h"

namespace cardamomyard {
namespace {

using standins::HeaderOf;
using standins::platform_engine;
using standins::raw_peer;
using standins::raw_server;

// The caller's time budget and half a second.
constexpr milliseconds kAnsweredWithin{5500};
// An idle gateway takes 13 MB, the smallest machines have 160 MB.
constexpr std::size_t kMaxProcessMegabytes = 60;

std::string StreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(const std::string& bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

std::string EventChunk(int number) {
  return Chunk("id: " + std::to_string(number) +
               "\ndata: " + platform_engine::Event(number) + "\n\n");
}

int CountOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

class server_trouble : public platform_fixture {
 protected:
  /// Registers a server that answers each request as \p answer does, and makes
  /// it the only one.
  void ServeOnly(std::function<void(raw_peer&, const std::string&)> answer) {
    trouble_ = std::make_unique<raw_server>(
        [this, answer = std::move(answer)](raw_peer& peer) {
          for (std::string head = peer.ReadRequest(); !head.empty();
               head = peer.ReadRequest()) {
            ++asked_;
            answer(peer, HeaderOf(head, "Request-Id"));
          }
        });
    RegisterEngine("trouble", trouble_->address(), "ready");
    SetSoundServers("draining");
  }

  void SetSoundServers(const std::string& state) {
    for (int i = 0; i < 2; ++i) {
      RegisterEngine("engine-" + std::to_string(i), engine_address(i), state);
    }
  }

  /// Calls the gateway and expects that it answers or breaks off in time and
  /// stays within its memory.
  harness::stream_answer CallInTime(const host& gateway,
                                    const std::string& path) {
    const auto began = std::chrono::steady_clock::now();
    auto answer =
        client().Stream(gateway.front, Request("POST", path, "r1", "hello"));
    EXPECT_LT(std::chrono::steady_clock::now() - began, kAnsweredWithin);
    EXPECT_LT(harness::PeakMegabytes(gateway.process->pid()),
              kMaxProcessMegabytes);
    return answer;
  }

  std::atomic<int> asked_{0};
  std::unique_ptr<raw_server> trouble_;
};

TEST_F(server_trouble, EndlessEventIsBrokenOffAndTakesBoundedMemory) {
  ServeOnly([](raw_peer& peer, const std::string& id) {
    peer.Send(StreamHead(id) + EventChunk(1));
    peer.SendWithoutEnd(Chunk(std::string(60'000, 'x')));
  });
  const host gateway = StartGateway("g1");
  const auto answer = CallInTime(gateway, "/draft/1");
  EXPECT_FALSE(answer.whole);
}

TEST_F(server_trouble, EndlessErrorBodyIsAnsweredInTimeWithBoundedMemory) {
  ServeOnly([](raw_peer& peer, const std::string& id) {
    peer.Send("HTTP/1.1 400 Bad Request\r\nRequest-Id: " + id + "\r\n\r\n");
    peer.SendWithoutEnd("x", milliseconds(10));
  });
  const host gateway = StartGateway("g1");
  const auto answer = CallInTime(gateway, "/draft/1");
  EXPECT_GE(answer.status, 500);
}

TEST_F(server_trouble, EndlessHeadIsAnsweredAsFailed) {
  ServeOnly([](raw_peer& peer, const std::string&) {
    peer.Send("HTTP/1.1 200 OK\r\nX: ");
    peer.SendWithoutEnd("value");
  });
  const host gateway = StartGateway("g1");
  const auto answer = CallInTime(gateway, "/draft/1");
  EXPECT_EQ(answer.status, 502);
}

// A server that crashes before its first event ends such an answer like a whole
// one.
TEST_F(server_trouble, EmptyAnswerWithoutLengthIsNotTakenForAWholeStream) {
  ServeOnly([](raw_peer& peer, const std::string& id) {
    peer.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
              "\r\nResponse-Signature: s\r\nConnection: close\r\n"
              "Content-Type: text/event-stream\r\n\r\n");
    peer.Shut();
  });
  const host gateway = StartGateway("g1");
  const auto answer = CallInTime(gateway, "/draft/1");
  EXPECT_EQ(answer.status, 502);
}

// The bytes after the last blank line belong to an event that never ended.
TEST_F(server_trouble, AnswerWithoutLengthThatEndsInsideAnEventIsBrokenOff) {
  ServeOnly([](raw_peer& peer, const std::string& id) {
    peer.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
              "\r\nResponse-Signature: s\r\nConnection: close\r\n"
              "Content-Type: text/event-stream\r\n\r\n"
              "id: 1\ndata: a\n\nid: 2\nda");
    peer.Shut();
  });
  const host gateway = StartGateway("g1");
  const auto answer = CallInTime(gateway, "/draft/1");
  EXPECT_FALSE(answer.whole);
}

// A server that sends a comment now and then is silent for the caller.
TEST_F(server_trouble, StreamThatStallsWithCommentsGoesOnAtASoundServer) {
  ServeOnly([this](raw_peer& peer, const std::string& id) {
    SetSoundServers("ready");
    peer.Send(StreamHead(id) + EventChunk(1));
    peer.SendWithoutEnd(Chunk(": wait\n\n"), milliseconds(30));
  });
  const host gateway = StartGateway("g1");
  const auto answer = CallInTime(gateway, "/ask/1");
  EXPECT_TRUE(answer.whole) << answer.failure << Log("g1");
  EXPECT_NE(answer.body.find(platform_engine::Event(platform_engine::kEvents)),
            std::string::npos);
}

// A server that was asked to resume sends the stream from its beginning.
TEST_F(server_trouble, Rule08_RepeatedEventsDoNotReachTheCaller) {
  ServeOnly([this](raw_peer& peer, const std::string& id) {
    peer.Send(StreamHead(id) + EventChunk(1) + EventChunk(2));
    if (asked_ > 1) {
      SetSoundServers("ready");
    }
    peer.Reset();
  });
  const host gateway = StartGateway("g1");
  const auto answer = CallInTime(gateway, "/ask/1");
  const std::string first = "id: 1\n";
  const std::size_t at = answer.body.find(first);
  EXPECT_NE(at, std::string::npos);
  EXPECT_EQ(answer.body.find(first, at + 1), std::string::npos) << answer.body;
}

TEST_F(server_trouble, SlowButSoundStreamEndsWhole) {
  constexpr int kEvents = 12;
  ServeOnly([](raw_peer& peer, const std::string& id) {
    peer.Send(StreamHead(id));
    for (int i = 1; i <= kEvents; ++i) {
      // Just below the longest pause that the route allows.
      std::this_thread::sleep_for(milliseconds(240));
      peer.Send(EventChunk(i));
    }
    peer.Send("0\r\n\r\n");
  });
  const host gateway = StartGateway("g1");
  const auto answer = CallInTime(gateway, "/draft/1");
  EXPECT_TRUE(answer.whole) << answer.failure << Log("g1");
  EXPECT_EQ(asked_, 1);
}

TEST_F(server_trouble, BatchItemLeavesAServerThatStallsWithComments) {
  ServeOnly([this](raw_peer& peer, const std::string& id) {
    SetSoundServers("ready");
    peer.Send(StreamHead(id) + EventChunk(1));
    peer.SendWithoutEnd(Chunk(": wait\n\n"), milliseconds(30));
  });
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  ASSERT_EQ(Submit(gateway, "j1", 2, "i").status, 202);
  EXPECT_TRUE(AllListed(gateway, "j1", 2)) << Log("w1");
}

TEST_F(server_trouble, EndlessTextOfABatchItemTakesBoundedMemory) {
  std::atomic<bool> closed{false};
  ServeOnly([&](raw_peer& peer, const std::string& id) {
    peer.Send(StreamHead(id));
    const std::string data(60'000, 'x');
    int number = 1;
    while (peer.Send(
        Chunk("id: " + std::to_string(number) + "\ndata: " + data + "\n\n"))) {
      ++number;
    }
    closed = true;
  });
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  ASSERT_EQ(Submit(gateway, "j1", 2, "i").status, 202);
  ASSERT_TRUE(Eventually([&] { return closed.load(); })) << Log("w1");
  SetSoundServers("ready");
  RegisterEngine("trouble", trouble_->address(), "draining");
  EXPECT_TRUE(AllListed(gateway, "j1", 2)) << Log("w1");
  EXPECT_LT(harness::PeakMegabytes(worker.process->pid()),
            kMaxProcessMegabytes);
  const auto results = Results(gateway, "j1");
  for (const auto& value : results.at("results").as_array()) {
    const auto& entry = value.as_object();
    if (entry.at("state").as_string() == "completed") {
      EXPECT_EQ(std::string(entry.at("text").as_string()), WholeText());
    }
  }
}

// An answer whose stream ends at an event, but not as a message, is not whole.
TEST_F(server_trouble, Rule08_ItemWhoseAnswerBreaksOffIsNotCompletedWithIt) {
  ServeOnly([this](raw_peer& peer, const std::string& id) {
    peer.Send(StreamHead(id) + EventChunk(1) + EventChunk(2));
    SetSoundServers("ready");
    peer.Shut();
  });
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  ASSERT_EQ(Submit(gateway, "j1", 3, "i").status, 202);
  ASSERT_TRUE(AllListed(gateway, "j1", 3)) << Log("w1");
  const auto results = Results(gateway, "j1");
  for (const auto& value : results.at("results").as_array()) {
    const auto& entry = value.as_object();
    if (entry.at("state").as_string() == "completed") {
      EXPECT_EQ(std::string(entry.at("text").as_string()), WholeText());
    }
  }
}

// A faulty server wrote an earlier refusal once more on a kept connection.
// Callers were told "not run" for the request that the server was running.
TEST_F(server_trouble, Rule09_RefusalThatIsSentTwiceIsNotPassedOn) {
  std::mutex mutex;
  std::set<std::string> runs;
  const raw_peer* refused_on = nullptr;
  ServeOnly([&](raw_peer& peer, const std::string& id) {
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::lock_guard lock(mutex);
    if (refused_on == nullptr) {
      refused_on = &peer;
      peer.Send(refusal);
      return;
    }
    if (refused_on == &peer) {
      peer.Send(refusal);
    }
    runs.insert(id);
    peer.Send(StreamHead(id) + EventChunk(1) + "0\r\n\r\n");
  });
  const host gateway = StartGateway("g1");
  for (int i = 0; asked_ < 4 && i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto answer =
        client().Stream(gateway.front, Request("POST", "/draft/1", id, "x"));
    const std::lock_guard lock(mutex);
    EXPECT_FALSE(answer.status == 503 && runs.contains(id)) << Log("g1");
  }
  EXPECT_GE(asked_, 4);
  trouble_.reset();
}

constexpr const char* kErrorText = "error-text";

std::string PlainAnswer(const std::string& status,
                        const std::string& headers,
                        const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What a server answers that is asked to go on with a stream. The texts end
/// as events do.
std::vector<std::string> ErrorAnswers(const std::string& id) {
  const std::string text = std::string(kErrorText) + "\n\n";
  const std::string name = "Request-Id: " + id + "\r\n";
  const std::string json = name + "Content-Type: application/json\r\n";
  return {PlainAnswer("503 Service Unavailable", json, text),
          PlainAnswer("503 Service Unavailable",
                      name + "Not-Executed: 1\r\n" + json, text),
          PlainAnswer("500 Internal Server Error", json, text),
          PlainAnswer("404 Not Found", json, text),
          PlainAnswer("200 OK", json, text),
          PlainAnswer("200 OK", json, ""),
          PlainAnswer("200 OK", name, text),
          StreamHead(id) + Chunk("data: " + text) + "0\r\n\r\n",
          StreamHead(id) + Chunk("HTTP/1.1 503 Gone\r\nX: 1\r\n\r\n" + text) +
              "0\r\n\r\n"};
}

class resume_trouble : public server_trouble {
 protected:
  /// Serves a stream that breaks off, then calls \p before and gives the error
  /// answer \p number.
  void BreakOffAndAnswer(std::size_t number, std::function<void()> before) {
    asked_ = 0;
    ServeOnly([this, number, before = std::move(before)](
                  raw_peer& peer, const std::string& id) {
      if (asked_ == 1) {
        peer.Send(StreamHead(id) + EventChunk(1) + EventChunk(2));
        peer.Reset();
        return;
      }
      before();
      peer.Send(ErrorAnswers(id)[number]);
    });
  }
};

// A stream had begun and broke off, and the next server answered with an error:
// callers got the error's text in their stream, or a stream that ended as if it
// were whole.
TEST_F(resume_trouble, Rule08_ErrorOfTheNextServerIsNoPartOfAStream) {
  for (std::size_t i = 0; i < ErrorAnswers("").size(); ++i) {
    BreakOffAndAnswer(i, [] {});
    const std::string name = "g" + std::to_string(i);
    const host gateway = StartGateway(name);
    const auto answer = CallInTime(gateway, "/ask/1");
    EXPECT_GT(asked_, 1) << i;
    EXPECT_EQ(CountOf(answer.body, "id: "), 2) << i << answer.body;
    EXPECT_EQ(CountOf(answer.body, kErrorText), 0) << i << answer.body;
    EXPECT_EQ(CountOf(answer.body, "HTTP/1.1"), 0) << i << answer.body;
    EXPECT_FALSE(answer.whole) << i << Log(name);
    gateway.process->Kill();
  }
}

// The same for batch items, which were completed with the part that they had.
TEST_F(resume_trouble, Rule08_ItemIsNotCompletedByAnErrorOfTheNextServer) {
  const host gateway = StartGateway("g");
  StartWorker("w", gateway);
  for (std::size_t i = 0; i < ErrorAnswers("").size(); ++i) {
    BreakOffAndAnswer(i, [this] { SetSoundServers("ready"); });
    const std::string job = "j" + std::to_string(i);
    ASSERT_EQ(Submit(gateway, job, 2, job).status, 202);
    ASSERT_TRUE(AllListed(gateway, job, 2)) << i << Log("w");
    const auto results = Results(gateway, job);
    for (const auto& value : results.at("results").as_array()) {
      const auto& entry = value.as_object();
      if (entry.at("state").as_string() == "completed") {
        EXPECT_EQ(std::string(entry.at("text").as_string()), WholeText()) << i;
      }
    }
  }
}

}  // namespace
}  // namespace cardamomyard
