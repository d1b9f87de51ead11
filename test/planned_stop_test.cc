// Guards that planned stops cut nothing and that leaving servers get no work.
#include "fleet_fixture.h"

namespace cardamomyard::harness {
namespace {

class PlannedStopTest : public FleetTest {
 protected:
  /// Sends requests for 4 s and expects that one server starts none after 3 s.
  void ExpectNoNewWork(std::size_t index) {
    const auto begin = std::chrono::steady_clock::now();
    double before = -1;
    const bool ended = WaitUntil(
        [&] {
          EXPECT_EQ(Chat(ChatBody("work")).status, 200);
          if (before < 0 && std::chrono::steady_clock::now() - begin >
                                std::chrono::seconds(3)) {
            before = EngineStat("started", index);
          }
          return false;
        },
        std::chrono::seconds(5));
    EXPECT_FALSE(ended);
    EXPECT_EQ(EngineStat("started", index), before);
  }
};

TEST_F(PlannedStopTest, Rule11_LeavingServerGetsNoNewWork) {
  Start({.entry_hosts = 1, .groups = {Engines(2)}});
  fleet_->SetLeaving(fleet_->sidecar("lm", 0), true);
  ExpectNoNewWork(0);
}

TEST_F(PlannedStopTest, Rule11_StoppingSidecarGetsNoNewWork) {
  Start({.entry_hosts = 1, .groups = {Engines(2)}});
  fleet_->sidecar("lm", 0).process->Signal(SIGTERM);
  ExpectNoNewWork(0);
  EXPECT_EQ(
      fleet_->sidecar("lm", 0).process->WaitForExit(std::chrono::seconds(10)),
      0);
}

TEST_F(PlannedStopTest, Rule11_FrozenSidecarGetsNoNewWork) {
  Start({.entry_hosts = 1, .groups = {Engines(2)}});
  child_process& frozen = *fleet_->sidecar("lm", 0).process;
  frozen.Signal(SIGSTOP);
  // An entry host gives no work after 3 s without a heartbeat.
  EXPECT_TRUE(WaitUntil([this] {
    return fleet_->Metric(
               0, "cardamomyard_backends_usable{deployment=\"lm\"}") == 1;
  }));
  const double before = EngineStat("started", 0);
  fleet_->SetLeaving(fleet_->sidecar("lm", 0), true);
  frozen.Signal(SIGCONT);
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(Chat(ChatBody("work")).status, 200);
  }
  EXPECT_EQ(EngineStat("started", 0), before);
}

TEST_F(PlannedStopTest, Rule12_StoppingProcessesFinishTheirStreams) {
  Start({.groups = {Engines(2, {"--step-ms", "20"})}});
  std::vector<running_stream> streams;
  for (std::size_t i = 0; i < 6; ++i) {
    // About 3 s each.
    streams.push_back(
        BeginStream(ChatBody("story " + std::to_string(i), 150, true), i % 2));
  }
  child_process& entry = *fleet_->entry(0).process;
  child_process& sidecar = *fleet_->sidecar("lm", 0).process;
  entry.Signal(SIGTERM);
  sidecar.Signal(SIGTERM);
  for (running_stream& stream : streams) {
    const stream_answer answer = stream.answer.get();
    EXPECT_TRUE(answer.whole) << answer.failure;
    EXPECT_TRUE(Contains(answer.body, "[DONE]"));
  }
  EXPECT_EQ(entry.WaitForExit(std::chrono::seconds(10)), 0);
  EXPECT_EQ(sidecar.WaitForExit(std::chrono::seconds(10)), 0);
}

}  // namespace
}  // namespace cardamomyard::harness
