#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <future>
#include <map>
#include <set>
#include <string>

#include "platform_fixture.h"

namespace cardamomyard {
namespace {

int CountEvents(const std::string& body) {
  int events = 0;
  for (std::size_t at = body.find("data: "); at != std::string::npos;
       at = body.find("data: ", at + 1)) {
    ++events;
  }
  return events;
}

// Guards against a stream that loses or repeats events, or a key that reaches a
// server, on the way through a gateway.
TEST_F(platform_fixture, Rule05_StreamIsServedWholeForTheKeysAccount) {
  const host gateway = StartGateway("g1");
  const auto answer = client().Stream(
      gateway.front, Request("POST", "/draft/1", "r1", "hello"));
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.whole) << answer.failure;
  EXPECT_EQ(CountEvents(answer.body), standins::platform_engine::kEvents);
  EXPECT_TRUE(answer.headers.Get("Response-Signature"));
  for (standins::platform_engine* engine : engines()) {
    EXPECT_TRUE(engine->keys().empty());
    for (const std::string& account : engine->accounts()) {
      EXPECT_EQ(account, "acme");
    }
  }
  EXPECT_EQ(
      client().Call(gateway.front, Request("POST", "/none/1", "r2")).status,
      404);
  EXPECT_EQ(
      client()
          .Call(gateway.front, Request("POST", "/ask/1", "r3", "", "wrong"))
          .status,
      401);
}

// Guards against a stream that a broken server ends although it could go on.
TEST_F(platform_fixture, Rule08_CutStreamGoesOnAtAnotherServer) {
  const host gateway = StartGateway("g1");
  for (standins::platform_engine* engine : engines()) {
    engine->CutNext(1);
  }
  const auto answer =
      client().Stream(gateway.front, Request("POST", "/ask/1", "r1", "hello"));
  EXPECT_TRUE(answer.whole) << answer.failure << Log("g1");
  EXPECT_EQ(CountEvents(answer.body), standins::platform_engine::kEvents);
}

// Guards against a second run of a stream that may not be repeated, and against
// a cut answer that looks finished.
TEST_F(platform_fixture, Rule10_CutStreamThatMayNotBeRepeatedEndsAsCut) {
  const host gateway = StartGateway("g1");
  for (standins::platform_engine* engine : engines()) {
    engine->CutNext(1);
  }
  const auto answer = client().Stream(
      gateway.front, Request("POST", "/draft/1", "r1", "hello"));
  EXPECT_FALSE(answer.whole);
  int runs = 0;
  for (standins::platform_engine* engine : engines()) {
    for (const auto& [id, count] : engine->runs()) {
      runs += count;
    }
  }
  EXPECT_EQ(runs, 1);
}

// Guards against a refusal without Retry-After, or one that waited.
TEST_F(platform_fixture, Rule09_RefusedRequestIsAnsweredAtOnceAndHasNotRun) {
  const host gateway = StartGateway("g1");
  for (standins::platform_engine* engine : engines()) {
    engine->RefuseNext(1);
  }
  const auto began = std::chrono::steady_clock::now();
  const auto answer =
      client().Call(gateway.front, Request("POST", "/draft/1", "r1", "hello"));
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.headers.Get("Retry-After"));
  EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds(1000));
  for (standins::platform_engine* engine : engines()) {
    EXPECT_TRUE(engine->runs().empty());
  }
}

// Guards against work for a server that has announced that it leaves.
TEST_F(platform_fixture, Rule11_LeavingServerGetsNothingNew) {
  const host gateway = StartGateway("g1");
  RegisterEngine("engine-0", engine_address(0), "draining");
  ASSERT_TRUE(Eventually([&] {
    return Logged("g1", "A backend server's entry changed.", "\"draining\"");
  })) << Log("g1");
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(client()
                  .Call(gateway.front, Request("POST", "/draft/1",
                                               "r" + std::to_string(i), "x"))
                  .status,
              200);
  }
  EXPECT_TRUE(engines()[0]->runs().empty());
}

// Guards against a key that works on after it was withdrawn, also when the
// store's watches lost the change.
TEST_F(platform_fixture, Rule06_WithdrawnKeyStopsWorkingAfterLostHistory) {
  const host gateway = StartGateway("g1");
  ASSERT_EQ(client()
                .Call(gateway.front, Request("POST", "/draft/1", "r1", "x"))
                .status,
            200);
  Configure(2, {"another-key"});
  store().Compact();
  EXPECT_TRUE(Eventually(
      [&] {
        return client()
                   .Call(gateway.front, Request("POST", "/draft/1", "r2", "x"))
                   .status == 401;
      },
      milliseconds(2000)))
      << Log("g1");
}

// Guards against a planned stop that cuts a stream.
TEST_F(platform_fixture, Rule12_PlannedStopFinishesWhatRuns) {
  const host gateway = StartGateway("g1");
  std::promise<void> begun;
  bool first = true;
  auto stream = std::async(std::launch::async, [&] {
    return client().Stream(gateway.front,
                           Request("POST", "/draft/1", "r1", "x"),
                           [&](std::string_view) {
                             if (std::exchange(first, false)) {
                               begun.set_value();
                             }
                             return true;
                           });
  });
  begun.get_future().wait();
  gateway.process->Signal(SIGHUP);
  gateway.process->Signal(SIGTERM);
  EXPECT_TRUE(stream.get().whole);
  EXPECT_EQ(gateway.process->WaitForExit(milliseconds(8000)), 0);
  const std::string log = Log("g1");
  EXPECT_NE(log.find("The settings are reread."), std::string::npos);
  EXPECT_NE(log.find("The gateway has stopped."), std::string::npos);
}

// Guards against items that are lost, listed twice or listed with half a text.
TEST_F(platform_fixture, Rule01_BatchJobIsRunAndListedOnce) {
  const host gateway = StartGateway("g1");
  const host other = StartGateway("g2");
  Start("worker", "w1");
  const auto accepted = Submit(gateway, "j1", 6, "i");
  ASSERT_EQ(accepted.status, 202) << accepted.body;
  EXPECT_EQ(Submit(other, "j1", 6, "i").status, 202);
  ASSERT_TRUE(AllListed(other, "j1", 6)) << Log("w1");
  const auto results = Results(gateway, "j1");
  EXPECT_EQ(results, Results(other, "j1"));
  std::set<std::string> listed;
  for (const auto& value : results.at("results").as_array()) {
    const auto& entry = value.as_object();
    const std::string id(entry.at("id").as_string());
    EXPECT_TRUE(listed.insert(id).second);
    const bool impossible = id == "i-0";
    EXPECT_EQ(entry.at("state").as_string(),
              impossible ? "dead_letter" : "completed");
    EXPECT_EQ(std::string(entry.at("text").as_string()),
              impossible ? "" : WholeText());
  }
  EXPECT_EQ(client()
                .Call(gateway.front, Request("GET", "/v1/items/j1?id=i-3", "b"))
                .body,
            "do it");
  EXPECT_EQ(
      client().Call(gateway.front, Request("GET", "/v1/lots/none", "b")).status,
      404);
}

// Guards against a job that stays unfinished when the worker that owns it dies.
TEST_F(platform_fixture, Rule01_JobOfADeadWorkerIsTakenOver) {
  const host gateway = StartGateway("g1");
  std::map<std::string, host> workers;
  for (const std::string name : {"w1", "w2"}) {
    workers[name] = StartWorker(name, gateway);
  }
  ASSERT_EQ(Submit(gateway, "j1", 20, "i").status, 202);
  std::string owner;
  ASSERT_TRUE(Eventually([&] {
    const auto spec = store().Spec("batch-job", "j1");
    if (!spec.is_string()) {
      return false;
    }
    owner = boost::json::parse(spec.as_string()).at("owner").as_string();
    return workers.contains(owner);
  }));
  workers[owner].process->Kill();
  EXPECT_TRUE(AllListed(gateway, "j1", 20)) << Log(owner == "w1" ? "w2" : "w1");
}

// Guards against an accepted job that is lost, or a refused one that runs, when
// the store is away or loses its answers.
TEST_F(platform_fixture, Rule09_StoreFaultsNeverMakeAnswersUntrue) {
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  store().SetCondition(standins::platform_store::condition::refusing);
  const auto refused = Submit(gateway, "j1", 2, "a");
  EXPECT_EQ(refused.status, 503);
  store().SetCondition(standins::platform_store::condition::losing);
  const auto accepted = Submit(gateway, "j2", 2, "b");
  store().SetCondition(standins::platform_store::condition::serving);
  if (accepted.status == 202) {
    EXPECT_TRUE(AllListed(gateway, "j2", 2)) << Log("w1");
  } else if (accepted.status == 503) {
    EXPECT_TRUE(store().Spec("batch-job", "j2").is_null());
  } else {
    // Nothing was promised; sending it again must settle it.
    EXPECT_EQ(Submit(gateway, "j2", 2, "b").status, 202);
    EXPECT_TRUE(AllListed(gateway, "j2", 2)) << Log("w1");
  }
  EXPECT_TRUE(store().Spec("batch-job", "j1").is_null());
}

// Results that piled up while the store was away were larger than one value of
// it together; none of them was ever listed.
TEST_F(platform_fixture, Rule01_ResultsThatPiledUpDuringAnOutageAreListed) {
  constexpr int kItems = 60;
  SetValueBytes(8000);
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  ASSERT_EQ(Submit(gateway, "j1", kItems, "i").status, 202);
  ASSERT_TRUE(Eventually([&] {
    return Logged("w1", "A batch job is loaded.", "\"j1\"");
  })) << Log("w1");
  store().SetCondition(standins::platform_store::condition::refusing);
  ASSERT_TRUE(Eventually([&] { return Runs("i-") == kItems; })) << Log("w1");
  store().SetCondition(standins::platform_store::condition::serving);
  EXPECT_TRUE(AllListed(gateway, "j1", kItems)) << Log("w1");
}

// Guards against a refusal that is overtaken by its own write, which the store
// does after it has closed the connection.
TEST_F(platform_fixture, Rule09_LateWritesNeverMakeAnswersUntrue) {
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  store().SetCondition(standins::platform_store::condition::late);
  const auto answer = Submit(gateway, "j1", 3, "a");
  store().SetCondition(standins::platform_store::condition::serving);
  ASSERT_TRUE(Eventually([&] { return store().waiting_writes() == 0; }));
  if (answer.status == 503) {
    EXPECT_TRUE(store().Spec("batch-job", "j1").is_null()) << Log("g1");
    EXPECT_EQ(Runs("a-"), 0U);
  }
  // The caller sends it again, as after any answer that is not final.
  EXPECT_EQ(Submit(gateway, "j1", 3, "a").status, 202);
  EXPECT_TRUE(AllListed(gateway, "j1", 3)) << Log("w1");
}

// Guards against online requests that wait for the store, and against jobs that
// are refused although a slow store answers in time.
TEST_F(platform_fixture, Rule09_SlowStoreDelaysOnlyJobs) {
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  store().SetCondition(standins::platform_store::condition::slow);
  const auto began = std::chrono::steady_clock::now();
  EXPECT_TRUE(client()
                  .Stream(gateway.front, Request("POST", "/draft/1", "r1", "x"))
                  .whole);
  EXPECT_LT(std::chrono::steady_clock::now() - began,
            standins::platform_store::kSlowAnswer);
  EXPECT_EQ(Submit(gateway, "j1", 3, "a").status, 202);
  EXPECT_TRUE(AllListed(gateway, "j1", 3)) << Log("w1");
}

// Guards against a job that runs on after its end was acknowledged.
TEST_F(platform_fixture, Rule02_EndedJobStops) {
  const host gateway = StartGateway("g1");
  Start("worker", "w1");
  ASSERT_EQ(Submit(gateway, "j1", 100, "i").status, 202);
  const auto running = [&] {
    return engines()[0]->running() + engines()[1]->running();
  };
  ASSERT_TRUE(Eventually([&] { return running() > 0; })) << Log("w1");
  EXPECT_EQ(client()
                .Call(gateway.front, Request("DELETE", "/v1/lots/j1", "d"))
                .status,
            200);
  EXPECT_TRUE(Eventually([&] { return running() == 0; }, milliseconds(3000)));
  // A later job goes through the same worker; by its end any item of the ended
  // job that was still to run would have run.
  const std::size_t begun = Runs("i-");
  ASSERT_EQ(Submit(gateway, "j2", 8, "k").status, 202);
  EXPECT_TRUE(AllListed(gateway, "j2", 8)) << Log("w1");
  EXPECT_EQ(Runs("i-"), begun);
}

// Watches of the store may lose their events; the owner of a job learns of its
// submission and of its end all the same.
TEST_F(platform_fixture, Rule02_JobRunsAndEndsWhenWatchesLoseTheirEvents) {
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  store().SetSilentWatches(true);
  ASSERT_EQ(Submit(gateway, "j1", 4, "i").status, 202);
  EXPECT_TRUE(AllListed(gateway, "j1", 4)) << Log("w1");
  ASSERT_EQ(Submit(gateway, "j2", 100, "k").status, 202);
  const auto running = [&] {
    return engines()[0]->running() + engines()[1]->running();
  };
  ASSERT_TRUE(Eventually([&] { return running() > 0; })) << Log("w1");
  EXPECT_EQ(client()
                .Call(gateway.front, Request("DELETE", "/v1/lots/j2", "d"))
                .status,
            200);
  EXPECT_TRUE(Eventually([&] { return running() == 0; }, milliseconds(3000)))
      << Log("w1");
  EXPECT_LT(Runs("k-"), 100U);
}

// Guards against a host that is removed while it still holds jobs.
TEST_F(platform_fixture, EvacuatedWorkerHandsItsJobsOver) {
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  StartWorker("w2", gateway);
  for (int job = 0; job < 4; ++job) {
    const std::string id = "j" + std::to_string(job);
    ASSERT_EQ(Submit(gateway, id, 10, id).status, 202);
  }
  store().Put("retirements", "w1", boost::json::object{{"period-s", 10}});
  EXPECT_TRUE(Eventually([&] {
    const auto status = store().Status("retirements", "w1");
    return status.is_object() &&
           status.as_object().at("state").as_string() == "completed";
  })) << Log("w1");
  process(1).Kill();
  for (int job = 0; job < 4; ++job) {
    EXPECT_TRUE(AllListed(gateway, "j" + std::to_string(job), 10)) << Log("w2");
  }
}

// Guards against accepted jobs that stay unfinished because the last worker was
// removed.
TEST_F(platform_fixture, LastWorkerIsEvacuatedOnlyWhenAnotherComes) {
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  store().Put("retirements", "w1", boost::json::object{{"period-s", 5}});
  ASSERT_TRUE(Eventually([&] {
    return Logged("w1", "The evacuation waits", "");
  })) << Log("w1");
  ASSERT_EQ(Submit(gateway, "j1", 6, "i").status, 202);
  EXPECT_TRUE(AllListed(gateway, "j1", 6)) << Log("w1");
  StartWorker("w2", gateway);
  EXPECT_TRUE(Eventually([&] {
    const auto status = store().Status("retirements", "w1");
    return status.is_object() &&
           status.as_object().at("state").as_string() == "completed";
  })) << Log("w1");
}

// Guards against a request or item whose server nobody can tell afterwards,
// also when the process that sent it was killed.
TEST_F(platform_fixture, EachPlacementIsLoggedWithTheLoadsThatDecidedIt) {
  const host gateway = StartGateway("g1");
  StartWorker("w1", gateway);
  ASSERT_TRUE(client()
                  .Stream(gateway.front, Request("POST", "/draft/1", "r1", "x"))
                  .whole);
  ASSERT_EQ(Submit(gateway, "j1", 2, "i").status, 202);
  ASSERT_TRUE(AllListed(gateway, "j1", 2)) << Log("w1");
  EXPECT_TRUE(Logged("g1", "A request goes to a server.", "\"request\":\"r1\""))
      << Log("g1");
  EXPECT_TRUE(Logged("g1", "A request goes to a server.", "\"load_age_ms\""));
  EXPECT_TRUE(
      Logged("w1", "A batch item goes to a server.", "\"item\":\"i-1\""))
      << Log("w1");
  EXPECT_TRUE(
      Logged("w1", "A run of a batch item ended.", "\"ending\":\"completed\""));
}

// Guards against a metrics address that serves nothing, or no histograms.
TEST_F(platform_fixture, MetricsAreServedOnTheirOwnPort) {
  const host_address metrics = *harness::ReserveAddress();
  const host gateway =
      StartGateway("g1", {"--metrics-port", std::to_string(metrics.port())});
  ASSERT_TRUE(client()
                  .Stream(gateway.front, Request("POST", "/draft/1", "r1", "x"))
                  .whole);
  http_request request;
  request.target = "/metrics";
  const auto page = client().Call(metrics, request);
  EXPECT_EQ(page.status, 200);
  EXPECT_NE(page.body.find(
                "cardamomyard_first_byte_seconds_count{route=\"draft\"} 1"),
            std::string::npos)
      << page.body;
  request.target = "/v1/ready";
  EXPECT_EQ(client().Call(metrics, request).status, 404);
}

// Guards against settings that are only found wrong when traffic runs.
TEST_F(platform_fixture, CheckNamesTheFieldThatIsWrong) {
  const std::string file = (folder() / "bad.json").string();
  std::ofstream(file) << R"({"node-name": "n1"})";
  harness::child_command command;
  command.program = "cardamomyard";
  command.arguments = {"gateway", "--settings", file, "--check"};
  command.log_file = (folder() / "check.log").string();
  auto process = std::move(*child_process::Start(command));
  EXPECT_EQ(process->WaitForExit(milliseconds(5000)), 1);
  EXPECT_NE(Log("check").find("zone"), std::string::npos);
}

}  // namespace
}  // namespace cardamomyard
