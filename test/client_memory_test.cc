// Clients out of control: bodies far over the limit, announced or just sent,
// and many chunked bodies at once that stop just short of their end and stay
// open. They ended a process, which ran out of memory.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <string>
#include <thread>
#include <vector>

#include "fleet_fixture.h"
#include "harness/client_crowd.h"
#include "platform_fixture.h"
#include "raw/raw_server.h"

namespace cardamomyard {
namespace {

using harness::AwaitQuiet;
using harness::ChunkOf;
using harness::client_crowd;
using harness::HeadOf;
using harness::OpenDescriptors;
using harness::PeakMegabytes;

// The machine that the tests' own settings describe.
constexpr std::size_t kMemoryMegabytes = 64;
constexpr std::size_t kDescriptors = 400;
// Of these, the platform reserves some for files.
constexpr std::size_t kReservedDescriptors = 200;

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kLargeChunk = 64 * 1024;
constexpr std::size_t kTinyChunk = 16;
constexpr std::size_t kCallerBodyLimit = 4 * kMegabyte;
constexpr std::size_t kInternalBodyLimit = 8 * kMegabyte;

constexpr const char* kChunked = "Transfer-Encoding: chunked";

struct target {
  host_address server = host_address::Make("0.0.0.0", 0);
  http_request request;
  std::size_t body_limit = 0;
};

/// Bodies that end one large chunk before the limit.
void AddLargeChunks(client_crowd& crowd, const target& at, std::size_t count) {
  crowd.Add(
      at.server,
      {HeadOf(at.request, kChunked), ChunkOf(std::string(kLargeChunk, 'x')),
       at.body_limit / kLargeChunk - 1},
      count);
}

/// Bodies of 48 KB in very small chunks.
void AddTinyChunks(client_crowd& crowd, const target& at, std::size_t count) {
  std::string piece;
  for (std::size_t i = 0; i < 64; ++i) {
    piece += ChunkOf(std::string(kTinyChunk, 'x'));
  }
  crowd.Add(at.server, {HeadOf(at.request, kChunked), piece, 48}, count);
}

/// Bodies of eight times the limit, announced and not.
void AddOversized(client_crowd& crowd, const target& at, std::size_t count) {
  const std::size_t pieces = 8 * at.body_limit / kLargeChunk;
  crowd.Add(at.server,
            {HeadOf(at.request, "Content-Length: 10000000000"),
             std::string(kLargeChunk, 'x'), pieces},
            count / 2);
  crowd.Add(at.server,
            {HeadOf(at.request, kChunked),
             ChunkOf(std::string(kLargeChunk, 'x')), pieces},
            count - count / 2);
}

/// Heads that never end, and connections that send nothing.
void AddOpenConnections(client_crowd& crowd,
                        const target& at,
                        std::size_t count) {
  crowd.Add(at.server, {"POST / HTTP/1.1\r\nHost: ", "", 0}, count / 2);
  crowd.Add(at.server, {}, count - count / 2);
}

http_request Get(const std::string& path) {
  http_request request;
  request.target = path;
  return request;
}

http_request Post(const std::string& path) {
  http_request request;
  request.method = "POST";
  request.target = path;
  return request;
}

class client_memory : public platform_fixture {
 protected:
  client_memory() { SetMachineLimits(kMemoryMegabytes, kDescriptors); }

  target Front(const host& gateway) const {
    return {gateway.front, Request("POST", "/ask/1", "crowd"),
            kCallerBodyLimit};
  }
  static target Internal(const host& process) {
    return {process.internal, Post("/internal/store"), kInternalBodyLimit};
  }

  /// Checks the process beside the open crowd.
  void ExpectSound(const host& process, const client_crowd& crowd) {
    EXPECT_GT(crowd.size(), 0U);
    AwaitQuiet(process.process->pid());
    ASSERT_TRUE(process.process->Running()) << Log(process.name);
    EXPECT_GT(PeakMegabytes(process.process->pid()), 0U);
    EXPECT_LE(PeakMegabytes(process.process->pid()), kMemoryMegabytes);
    EXPECT_LE(OpenDescriptors(process.process->pid()),
              kDescriptors - kReservedDescriptors);
  }
  void ExpectServesCallers(const host& gateway) {
    const auto answer =
        client().Stream(gateway.front, Request("POST", "/ask/1", "r1", "hi"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.whole) << answer.failure;
  }
  void ExpectAnswersMetrics(const host& process) {
    EXPECT_EQ(client().Call(process.internal, Get("/metrics")).status, 200);
  }
};

TEST_F(client_memory, LargeChunksAtAGateway) {
  const host gateway = StartGateway("g1");
  client_crowd crowd;
  AddLargeChunks(crowd, Front(gateway), 24);
  crowd.Send();
  ExpectSound(gateway, crowd);
  ExpectServesCallers(gateway);
}

TEST_F(client_memory, TinyChunksAtAGateway) {
  const host gateway = StartGateway("g1");
  client_crowd crowd;
  AddTinyChunks(crowd, Front(gateway), 500);
  crowd.Send();
  ExpectSound(gateway, crowd);
  ExpectServesCallers(gateway);
}

TEST_F(client_memory, OversizedBodiesAtAGateway) {
  const host gateway = StartGateway("g1");
  client_crowd crowd;
  AddOversized(crowd, Front(gateway), 32);
  crowd.Send();
  ExpectSound(gateway, crowd);
  ExpectServesCallers(gateway);
}

TEST_F(client_memory, OpenConnectionsAtAGateway) {
  const host gateway = StartGateway("g1");
  client_crowd crowd;
  AddOpenConnections(crowd, Front(gateway), 300);
  crowd.Send();
  ExpectSound(gateway, crowd);
  ExpectServesCallers(gateway);
}

// A batch submission is parsed, which takes more memory than its bytes.
TEST_F(client_memory, BatchSubmissionsAtAGateway) {
  const host gateway = StartGateway("g1");
  target lots = Front(gateway);
  lots.request = Request("POST", "/lots/crowd", "crowd");
  client_crowd crowd;
  AddLargeChunks(crowd, lots, 24);
  crowd.Send();
  ExpectSound(gateway, crowd);
  ExpectServesCallers(gateway);
}

TEST_F(client_memory, MixedCrowdAtTheInternalPortOfAGateway) {
  const host gateway = StartGateway("g1");
  client_crowd crowd;
  AddLargeChunks(crowd, Internal(gateway), 8);
  AddTinyChunks(crowd, Internal(gateway), 150);
  AddOversized(crowd, Internal(gateway), 8);
  crowd.Send();
  ExpectSound(gateway, crowd);
  ExpectAnswersMetrics(gateway);
  ExpectServesCallers(gateway);
}

TEST_F(client_memory, MixedCrowdAtAWorker) {
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  client_crowd crowd;
  AddLargeChunks(crowd, Internal(worker), 8);
  AddTinyChunks(crowd, Internal(worker), 150);
  AddOversized(crowd, Internal(worker), 8);
  crowd.Send();
  ExpectSound(worker, crowd);
  ExpectAnswersMetrics(worker);
}

// Servers that send answers without end, signed as sound ones are. An answer of
// a plain service is buffered whole, to 16 MB, so a few of them ended a
// process.
TEST_F(client_memory, AnswersWithoutEndAtAGateway) {
  constexpr int kCalls = 24;
  Configure(2, {kKey},
            {MakeRoute("ask", "streaming", true),
             MakeRoute("note", "idempotent", false, "notes")},
            {});
  standins::raw_server server([](standins::raw_peer& peer) {
    const std::string head = peer.ReadRequest();
    peer.Send(
        "HTTP/1.1 200 OK\r\nRequest-Id: " +
        standins::HeaderOf(head, "Request-Id") +
        "\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    peer.SendWithoutEnd(ChunkOf(std::string(kLargeChunk, 'x')));
  });
  RegisterEngine("endless", server.address(), "ready", "notes");
  const host gateway = StartGateway("g1");
  std::vector<std::thread> callers;
  callers.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    callers.emplace_back([this, &gateway, i] {
      client().Call(gateway.front, Request("POST", "/note/1",
                                           "n" + std::to_string(i), "hello"));
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  ASSERT_TRUE(gateway.process->Running()) << Log("g1");
  EXPECT_LE(PeakMegabytes(gateway.process->pid()), kMemoryMegabytes);
  ExpectServesCallers(gateway);
}

// Hosts follow several kinds of the store at once, so answers without end to
// all of them ended a process.
TEST_F(client_memory, AnswersWithoutEndFromTheStore) {
  const host gateway = StartGateway("g1");
  const host worker = StartWorker("w1", gateway);
  store().SetCondition(standins::platform_store::condition::endless);
  for (const host& process : {gateway, worker}) {
    for (const std::string kind : {"servers", "config", "cardamomyard-host"}) {
      EXPECT_TRUE(Eventually([&] {
        return Logged(process.name, "The store does not answer.",
                      "\"kind\":\"" + kind + "\"");
      })) << Log(process.name);
    }
    ExpectServesCallers(gateway);
  }
  // Each follower asks several times more.
  constexpr int kMoreCalls = 40;
  const int calls = store().calls();
  EXPECT_TRUE(Eventually([&] { return store().calls() > calls + kMoreCalls; }));
  for (const host& process : {gateway, worker}) {
    ASSERT_TRUE(process.process->Running()) << Log(process.name);
    EXPECT_LE(PeakMegabytes(process.process->pid()), kMemoryMegabytes);
  }
  ExpectServesCallers(gateway);
  RegisterEngine("late", engine_address(0), "ready");
  store().SetCondition(standins::platform_store::condition::serving);
  EXPECT_TRUE(Eventually([&] {
    return Logged("g1", "The backend servers have been listed.",
                  "\"listed\":\"3\"");
  })) << Log("g1");
}

class client_memory_fleet : public harness::FleetTest {
 protected:
  void SetUp() override {
    ::setenv("CARDAMOMYARD_MEMORY_MB", std::to_string(kMemoryMegabytes).c_str(),
             1);
    ::setenv("CARDAMOMYARD_MAX_DESCRIPTORS",
             std::to_string(kDescriptors).c_str(), 1);
    Start({.entry_hosts = 1, .groups = {Engines(1)}});
  }
  void TearDown() override {
    ::unsetenv("CARDAMOMYARD_MEMORY_MB");
    ::unsetenv("CARDAMOMYARD_MAX_DESCRIPTORS");
    FleetTest::TearDown();
  }

  target Callers(const std::string& path) {
    return {fleet_->entry(0).address,
            harness::JsonRequest("POST", path, "", fleet_->key("acme")),
            kCallerBodyLimit};
  }
  static target Internal(const harness::fleet_member& member) {
    return {member.internal, Post("/internal/heartbeat"), kInternalBodyLimit};
  }

  void ExpectSound(harness::fleet_member& member, const client_crowd& crowd) {
    EXPECT_GT(crowd.size(), 0U);
    AwaitQuiet(member.process->pid());
    ASSERT_TRUE(member.process->Running());
    EXPECT_GT(PeakMegabytes(member.process->pid()), 0U);
    EXPECT_LE(PeakMegabytes(member.process->pid()), kMemoryMegabytes);
    EXPECT_LE(OpenDescriptors(member.process->pid()),
              kDescriptors - kReservedDescriptors);
    const http_response answer = Chat(harness::ChatBody("hello"));
    EXPECT_EQ(answer.status, 200) << answer.body;
  }
};

TEST_F(client_memory_fleet, MixedCrowdAtAnEntryHost) {
  client_crowd crowd;
  AddLargeChunks(crowd, Callers(harness::kChatPath), 12);
  AddTinyChunks(crowd, Callers(harness::kChatPath), 250);
  AddOversized(crowd, Callers(harness::kChatPath), 16);
  crowd.Send();
  ExpectSound(fleet_->entry(0), crowd);
}

// An upload holds the line that has not ended, of up to 256 KB.
TEST_F(client_memory_fleet, UploadsAtAnEntryHost) {
  const target files = Callers("/v1/files");
  client_crowd crowd;
  crowd.Add(files.server,
            {HeadOf(files.request, kChunked),
             ChunkOf(std::string(kLargeChunk, 'x')), 3},
            300);
  crowd.Send();
  ExpectSound(fleet_->entry(0), crowd);
}

TEST_F(client_memory_fleet, OpenConnectionsAtAnEntryHost) {
  client_crowd crowd;
  AddOpenConnections(crowd, Callers(harness::kChatPath), 300);
  crowd.Send();
  ExpectSound(fleet_->entry(0), crowd);
}

TEST_F(client_memory_fleet, MixedCrowdAtTheInternalPortOfAnEntryHost) {
  client_crowd crowd;
  AddLargeChunks(crowd, Internal(fleet_->entry(0)), 8);
  AddTinyChunks(crowd, Internal(fleet_->entry(0)), 150);
  AddOversized(crowd, Internal(fleet_->entry(0)), 8);
  crowd.Send();
  ExpectSound(fleet_->entry(0), crowd);
}

TEST_F(client_memory_fleet, MixedCrowdAtASidecar) {
  client_crowd crowd;
  AddLargeChunks(crowd, Internal(fleet_->sidecar("lm")), 8);
  AddTinyChunks(crowd, Internal(fleet_->sidecar("lm")), 150);
  AddOversized(crowd, Internal(fleet_->sidecar("lm")), 8);
  crowd.Send();
  ExpectSound(fleet_->sidecar("lm"), crowd);
}

}  // namespace
}  // namespace cardamomyard
