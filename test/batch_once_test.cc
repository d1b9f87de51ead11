// Guards that each item of an acknowledged job ends once and stays readable
// when holders die or pause, store answers are lost, and jobs are sent again.
#include <set>

#include "batch_fixture.h"

namespace cardamomyard::harness {
namespace {

constexpr int kGroups = 3;
// Lines of 60 KB: 15 fit into a chunk.
constexpr std::size_t kPadding = 58'000;
constexpr int kItems = 45;

class BatchOnceTest : public BatchTest {
 protected:
  std::set<std::string> Holders(const std::string& job) {
    std::set<std::string> holders;
    for (int i = 0; i < kGroups; ++i) {
      const std::string holder = HolderOf(job, i);
      if (!holder.empty()) {
        holders.insert(holder);
      }
    }
    return holders;
  }
  fleet_member& SidecarNamed(const std::string& id) {
    for (std::size_t i = 0; i < 3; ++i) {
      if (fleet_->sidecar("lm", i).id == id) {
        return fleet_->sidecar("lm", i);
      }
    }
    throw std::invalid_argument("no sidecar " + id);
  }
};

TEST_F(BatchOnceTest, Rule01_HoldersDieAndPauseAndStoreAnswersAreLost) {
  // A sidecar runs four items at a time, so that each holds one group for
  // seconds.
  backend_group engines = Engines(3, {"--step-ms", "20"});
  engines.sidecar_flags = {"--slots", "8"};
  Start({.groups = {engines}});
  const std::string job = Submit(BatchLines(kItems, 60, kPadding));
  ASSERT_FALSE(job.empty());
  std::set<std::string> holders;
  ASSERT_TRUE(WaitUntil([&] {
    holders = Holders(job);
    return holders.size() >= 2;
  }));
  fleet_->Control(fleet_->store(), R"({"lose_answers":0.3,"seed":11})");
  const std::string killed = *holders.begin();
  const std::string frozen = *std::next(holders.begin());
  SidecarNamed(killed).process->Kill();
  SidecarNamed(frozen).process->Signal(SIGSTOP);
  // The leases of 15 s end, and the third sidecar takes the groups over.
  EXPECT_TRUE(WaitUntil(
      [&] {
        const std::set<std::string> now = Holders(job);
        return !now.contains(killed) && !now.contains(frozen);
      },
      std::chrono::seconds(30)));
  SidecarNamed(frozen).process->Signal(SIGCONT);
  fleet_->Control(fleet_->store(), R"({"lose_answers":0})");
  ASSERT_TRUE(WaitUntil([&] { return Status(job, 1) == "completed"; },
                        std::chrono::seconds(30)))
      << boost::json::serialize(ReadJob(job, 1));
  ExpectEachItemOnce(job, kItems, 1);
}

TEST_F(BatchOnceTest, Rule01_AcknowledgedJobSurvivesItsEntryHost) {
  Start({.groups = {Engines(1)}});
  const std::string lines = BatchLines(20, 4);
  const std::string job = Submit(lines, 0);
  fleet_->entry(0).process->Kill();
  EXPECT_EQ(Submit(lines, 1), job);
  ASSERT_TRUE(WaitUntil([&] { return Status(job, 1) == "completed"; },
                        std::chrono::seconds(20)));
  ExpectEachItemOnce(job, 20, 1);
  EXPECT_EQ(EngineStat("completed"), 20);
}

TEST_F(BatchOnceTest, Rule01_JobSentTwiceAtOnceIsOneJob) {
  Start({.groups = {Engines(1)}});
  const std::string lines = BatchLines(20, 4);
  auto first = std::async(std::launch::async, [&] { return Submit(lines, 0); });
  const std::string second = Submit(lines, 1);
  EXPECT_EQ(first.get(), second);
  ASSERT_TRUE(WaitUntil([&] { return Status(second) == "completed"; },
                        std::chrono::seconds(20)));
  ExpectEachItemOnce(second, 20);
  EXPECT_EQ(EngineStat("completed"), 20);
}

}  // namespace
}  // namespace cardamomyard::harness
