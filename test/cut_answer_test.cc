// Servers that stop in the middle of an answer, with real processes.
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform_fixture.h"
#include "raw/raw_server.h"

namespace cardamomyard {
namespace {

using standins::HeaderOf;
using standins::platform_engine;
using standins::raw_peer;
using standins::raw_server;

constexpr int kCuts = 6;
// More than the sockets hold beside small receive buffers.
constexpr std::size_t kLongBodyBytes = 3U << 20U;
constexpr int kReceiveBufferBytes = 4096;
const std::vector<std::string> unknown_statuses{"000", "099", "600", "2x0"};

/// An answer's head up to one of its parts.
std::string HeadUpTo(int part, const std::string& id) {
  const std::vector<std::string> parts{"HTTP/1.1 200 O",
                                       "K\r\n",
                                       "Request-Id: " + id + "\r\nResp",
                                       "onse-Signature: s",
                                       "\r\nContent-Type: text/event-stream\r",
                                       "\nContent-Length: 20\r\n"};
  std::string head;
  for (int i = 0; i <= part; ++i) {
    head += parts[i];
  }
  return head;
}

/// Answers without a signature: their heads ended early, at a blank line.
std::vector<std::string> UnsignedAnswers(const std::string& id) {
  const std::string begin = "HTTP/1.1 200 OK\r\n";
  const std::string name = begin + "Request-Id: " + id + "\r\n";
  const std::string event =
      "id: 1\ndata: " + platform_engine::Event(1) + "\n\n";
  return {begin + "\r\n",
          name + "\r\n",
          name + "Content-Type: application/json\r\n\r\n",
          name + "Content-Type: application/json\r\n\r\n{\"part",
          name + "\r\n" + event,
          name + "Content-Length: 0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nRequest-Id: " + id + "\r\n\r\n"};
}

class cut_head : public platform_fixture {
 protected:
  /// Makes a server the only one that answers with \p bytes before it has read
  /// the body, and resets the connection.
  void ServeEarlyPart(std::function<std::string(const std::string&)> bytes) {
    server_.reset();
    server_ = std::make_unique<raw_server>(
        [this, bytes = std::move(bytes)](raw_peer& peer) {
          const std::string id = HeaderOf(peer.ReadHead(), "Request-Id");
          if (id.empty()) {
            return;
          }
          ++asked_;
          if (sound_after_first_) {
            SetSoundServers("ready");
          }
          peer.Send(bytes(id));
          peer.Reset();
        });
    server_->SetReceiveBuffer(kReceiveBufferBytes);
    RegisterEngine("cut", server_->address(), "ready");
    SetSoundServers("draining");
  }

  /// Makes a server with these answers the only one.
  void ServeOnly(std::function<std::string(const std::string&)> answer,
                 bool reset = false) {
    server_.reset();
    server_ = std::make_unique<raw_server>(
        [this, answer = std::move(answer), reset](raw_peer& peer) {
          const std::string id = HeaderOf(peer.ReadRequest(), "Request-Id");
          if (id.empty()) {
            return;
          }
          ++asked_;
          if (sound_after_first_) {
            SetSoundServers("ready");
          }
          peer.Send(answer(id));
          if (reset) {
            peer.Reset();
          }
        });
    RegisterEngine("cut", server_->address(), "ready");
    SetSoundServers("draining");
  }

  void SetSoundServers(const std::string& state) {
    for (int i = 0; i < 2; ++i) {
      RegisterEngine("engine-" + std::to_string(i), engine_address(i), state);
    }
  }

  /// Calls a new gateway, as one that saw failures avoids the server.
  void ExpectNoSuccess(const std::string& name) {
    const host gateway = StartGateway(name);
    for (const std::string path : {"/ask/1", "/draft/1"}) {
      const int before = asked_;
      const auto answer = client().Stream(
          gateway.front, Request("POST", path, name + path.substr(1, 3), "x"));
      EXPECT_GT(asked_, before) << path << Log(name);
      EXPECT_GE(answer.status, 500) << path << " " << answer.body << Log(name);
    }
    gateway.process->Kill();
  }

  void ExpectItemsAreWhole(const host& gateway, const std::string& job) {
    ASSERT_EQ(Submit(gateway, job, 2, job).status, 202);
    ASSERT_TRUE(AllListed(gateway, job, 2)) << job << Log("w");
    const auto results = Results(gateway, job);
    for (const auto& value : results.at("results").as_array()) {
      const auto& entry = value.as_object();
      if (entry.at("state").as_string() == "completed") {
        EXPECT_EQ(std::string(entry.at("text").as_string()), WholeText())
            << job;
      }
    }
  }

  std::atomic<int> asked_{0};
  bool sound_after_first_ = false;
  std::unique_ptr<raw_server> server_;
};

TEST_F(cut_head, Rule08_AnswerCutInItsHeadIsNoSuccess) {
  for (int cut = 0; cut < kCuts; ++cut) {
    for (const bool reset : {false, true}) {
      ServeOnly([cut](const std::string& id) { return HeadUpTo(cut, id); },
                reset);
      ExpectNoSuccess("g" + std::to_string(cut) + (reset ? "r" : "c"));
    }
  }
}

// Callers got such answers as a whole 200, mostly with an empty body.
TEST_F(cut_head, Rule08_AnswerWithoutSignatureIsNoSuccess) {
  for (std::size_t i = 0; i < UnsignedAnswers("").size(); ++i) {
    ServeOnly([i](const std::string& id) { return UnsignedAnswers(id)[i]; });
    ExpectNoSuccess("g" + std::to_string(i));
  }
}

TEST_F(cut_head, Rule08_EmptyAnswerWithoutLengthIsNoSuccess) {
  ServeOnly([](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Signature: s\r\n"
           "Content-Type: application/json\r\n\r\n";
  });
  ExpectNoSuccess("g");
}

TEST_F(cut_head, Rule08_ItemIsNotCompletedByACutAnswer) {
  const host gateway = StartGateway("g");
  StartWorker("w", gateway);
  sound_after_first_ = true;
  for (int cut = 0; cut < kCuts; ++cut) {
    ServeOnly([cut](const std::string& id) { return HeadUpTo(cut, id); });
    ExpectItemsAreWhole(gateway, "cut" + std::to_string(cut));
  }
  for (std::size_t i = 0; i < UnsignedAnswers("").size(); ++i) {
    ServeOnly([i](const std::string& id) { return UnsignedAnswers(id)[i]; });
    ExpectItemsAreWhole(gateway, "unsigned" + std::to_string(i));
  }
}

/// Parts of answers without a length: plain ones, and streams that end at an
/// event.
std::vector<std::string> EarlyParts(const std::string& id) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\n";
  return {head + "Content-Type: application/json\r\n\r\n{\"part\":1}",
          head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: " +
              platform_engine::Event(1) + "\n\n"};
}

// A server answered a long upload at once, sent a part of an answer without a
// length and reset the connection; callers got the part as a whole answer.
TEST_F(cut_head, Rule08_PartBeforeAResetDuringTheUploadIsNoSuccess) {
  Configure(2, {kKey},
            {MakeRoute("ask", "streaming", true),
             MakeRoute("draft", "streaming", false),
             MakeRoute("note", "idempotent", false)},
            {});
  for (std::size_t i = 0; i < EarlyParts("").size(); ++i) {
    ServeEarlyPart([i](const std::string& id) { return EarlyParts(id)[i]; });
    for (const std::string path : {"/ask/1", "/draft/1", "/note/1"}) {
      const std::string name = "g" + std::to_string(i) + path.substr(1, 3);
      const host gateway = StartGateway(name);
      const int before = asked_;
      const auto answer = client().Stream(
          gateway.front,
          Request("POST", path, name, std::string(kLongBodyBytes, 'x')));
      EXPECT_GT(asked_, before) << path << Log(name);
      EXPECT_FALSE(answer.status < 400 && answer.whole)
          << path << " " << answer.status << answer.body << Log(name);
      gateway.process->Kill();
    }
  }
}

TEST_F(cut_head, Rule08_ItemIsNotCompletedByAPartBeforeAReset) {
  const host gateway = StartGateway("g");
  StartWorker("w", gateway);
  sound_after_first_ = true;
  for (std::size_t i = 0; i < EarlyParts("").size(); ++i) {
    ServeEarlyPart([i](const std::string& id) { return EarlyParts(id)[i]; });
    ExpectItemsAreWhole(gateway, "early" + std::to_string(i));
  }
}

std::string AnswerWithStatus(const std::string& status, const std::string& id) {
  return "HTTP/1.1 " + status + " Status\r\nRequest-Id: " + id +
         "\r\nResponse-Signature: s\r\nContent-Type: application/json\r\n"
         "Content-Length: 2\r\n\r\n{}";
}

// Servers in trouble sent the status 000, and callers got it as an answer.
TEST_F(cut_head, Rule08_StatusThatHttpDoesNotKnowIsNoAnswer) {
  for (const std::string& status : unknown_statuses) {
    ServeOnly([&status](const std::string& id) {
      return AnswerWithStatus(status, id);
    });
    const host gateway = StartGateway("g" + status);
    for (const std::string path : {"/ask/1", "/draft/1"}) {
      const auto answer = client().Stream(
          gateway.front,
          Request("POST", path, status + path.substr(1, 3), "x"));
      EXPECT_EQ(answer.status, 502) << status << path << Log(gateway.name);
    }
    EXPECT_TRUE(Logged(gateway.name, "A server broke off a request.",
                       "\"backend\":\"cut\""))
        << Log(gateway.name);
    gateway.process->Kill();
  }
}

TEST_F(cut_head, Rule08_ItemIsNotEndedByAStatusThatHttpDoesNotKnow) {
  const host gateway = StartGateway("g");
  StartWorker("w", gateway);
  sound_after_first_ = true;
  for (const std::string& status : unknown_statuses) {
    ServeOnly([&status](const std::string& id) {
      return AnswerWithStatus(status, id);
    });
    ExpectItemsAreWhole(gateway, "status" + status);
  }
}

}  // namespace
}  // namespace cardamomyard
