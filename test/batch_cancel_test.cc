// Guards that a cancelled job stops, whatever happens to the cancel's answer
// and to the store.
#include "batch_fixture.h"

namespace cardamomyard::harness {
namespace {

constexpr int kItems = 3000;

class BatchCancelTest : public BatchTest {
 protected:
  /// Starts a job that would run for minutes.
  std::string StartLongJob() {
    backend_group engines = Engines(1, {"--step-ms", "20"});
    engines.sidecar_flags = {"--slots", "8"};
    Start({.groups = {engines}});
    std::string job = Submit(BatchLines(kItems, 40));
    EXPECT_TRUE(WaitUntil([this] { return EngineStat("started") > 0; }));
    return job;
  }
  /// Expects that the engine starts no item later than 3 s from now.
  void ExpectNoItemStarts() {
    const auto begin = std::chrono::steady_clock::now();
    double before = -1;
    const bool started = WaitUntil(
        [&] {
          if (std::chrono::steady_clock::now() - begin <
              std::chrono::seconds(3)) {
            return false;
          }
          const double now = EngineStat("started");
          before = before < 0 ? now : before;
          return now != before;
        },
        std::chrono::seconds(6));
    EXPECT_FALSE(started) << before;
    EXPECT_LT(before, kItems);
  }
  /// Expects a finished record that covers every item and does not change.
  void ExpectFinalRecord(const std::string& job) {
    ASSERT_TRUE(WaitUntil([&] { return Status(job, 1) == "cancelled"; }))
        << boost::json::serialize(ReadJob(job, 1));
    const boost::json::value record = ReadJob(job, 1);
    const boost::json::value& counts = record.at("request_counts");
    EXPECT_EQ(counts.at("completed").to_number<int>() +
                  counts.at("failed").to_number<int>() +
                  counts.at("cancelled").to_number<int>(),
              kItems);
    EXPECT_GT(counts.at("cancelled").to_number<int>(), 0);
    // Longer than the interval in which sidecars commit and list jobs.
    EXPECT_FALSE(WaitUntil([&] { return ReadJob(job, 1) != record; },
                           std::chrono::seconds(3)))
        << boost::json::serialize(record);
  }
};

TEST_F(BatchCancelTest, Rule02_CancelledJobStops) {
  const std::string job = StartLongJob();
  const http_response answer = Cancel(job);
  EXPECT_EQ(answer.status, 200) << answer.body;
  ExpectNoItemStarts();
  ExpectFinalRecord(job);
}

TEST_F(BatchCancelTest, Rule02_OperatorsCancelStopsTheJob) {
  const std::string job = StartLongJob();
  const http_response answer =
      Send(JsonRequest("POST", "/admin/v1/batches/" + job + "/cancel", "",
                       fleet_->admin_token()),
           1);
  EXPECT_EQ(answer.status, 200) << answer.body;
  ExpectNoItemStarts();
  ExpectFinalRecord(job);
}

TEST_F(BatchCancelTest, Rule02_JobStopsWhenTheAnswerOfTheWriteIsLost) {
  const std::string job = StartLongJob();
  fleet_->Control(fleet_->store(), R"({"lose_answers":1,"seed":5})");
  const http_response answer = Cancel(job);
  EXPECT_TRUE(answer.status == 200 ||
              Contains(answer.body, R"("outcome":"may_have_run")"))
      << answer.body;
  ExpectNoItemStarts();
  fleet_->Control(fleet_->store(), R"({"lose_answers":0})");
  ExpectFinalRecord(job);
}

TEST_F(BatchCancelTest, Rule02_JobStopsDuringAStoreOutage) {
  const std::string job = StartLongJob();
  fleet_->Control(fleet_->store(), R"({"outage":true})");
  const http_response answer = Cancel(job);
  EXPECT_EQ(answer.status, 503) << answer.body;
  EXPECT_TRUE(Contains(answer.body, R"("outcome":"may_have_run")"))
      << answer.body;
  ExpectNoItemStarts();
  fleet_->Control(fleet_->store(), R"({"outage":false})");
  ExpectFinalRecord(job);
}

}  // namespace
}  // namespace cardamomyard::harness
