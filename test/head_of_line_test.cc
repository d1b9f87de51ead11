// Guards that online requests don't wait behind batch work or uploads.
#include <algorithm>

#include "batch_fixture.h"

namespace cardamomyard::harness {
namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

class HeadOfLineTest : public BatchTest {
 protected:
  /// \returns the time from the request to the first piece of its stream.
  double FirstToken(const std::string& prompt) {
    const auto begin = std::chrono::steady_clock::now();
    double first = 0;
    const stream_answer answer = fleet_->http().Stream(
        fleet_->entry(0).address,
        JsonRequest("POST", kChatPath, ChatBody(prompt, 4, true),
                    fleet_->key("zenith")),
        [&](std::string_view /*piece*/) {
          if (first == 0) {
            first = milliseconds_f(std::chrono::steady_clock::now() - begin)
                        .count();
          }
          return true;
        });
    EXPECT_TRUE(answer.whole) << answer.failure << answer.body;
    return first;
  }
  /// \returns the 95th percentile of \p count requests after each other.
  double FirstTokenP95(const std::string& name, std::size_t count) {
    std::vector<double> times;
    for (std::size_t i = 0; i < count; ++i) {
      times.push_back(FirstToken(name + std::to_string(i)));
    }
    std::ranges::sort(times);
    return times[(times.size() * 95) / 100];
  }
};

TEST_F(HeadOfLineTest, Rule03_FirstTokenWhileEnginesRunBatchWork) {
  // Long steps, so that the machine's own load is small beside them.
  Start({.groups = {Engines(1, {"--step-ms", "30", "--max-batch", "64"})}});
  const double alone = FirstTokenP95("alone ", 60);
  const std::string job = Submit(BatchLines(2000, 100));
  // The engine runs at most 64 items at once, so it is full by then.
  ASSERT_TRUE(WaitUntil([this] { return EngineStat("started") > 60 + 128; },
                        std::chrono::seconds(20)));
  const double beside = FirstTokenP95("beside ", 60);
  EXPECT_EQ(Status(job), "in_progress");
  EXPECT_LE(beside, alone * 1.5);
  std::cout << "first token p95: alone " << alone << " ms, beside batch work "
            << beside << " ms\n";
}

TEST_F(HeadOfLineTest, Rule03_UploadDoesNotDelayOnlineRequests) {
  Start({.entry_hosts = 1, .groups = {Engines(1)}});
  const std::string lines = BatchLines(1000, 1, 20'000);
  ASSERT_GE(lines.size(), 20'000'000U);
  const double alone = FirstTokenP95("alone ", 60);
  auto upload =
      std::async(std::launch::async, [&] { return Upload(lines).status; });
  std::vector<double> times;
  // Requests that begin while the upload runs.
  while (upload.wait_for(std::chrono::seconds(0)) !=
         std::future_status::ready) {
    times.push_back(FirstToken("beside " + std::to_string(times.size())));
  }
  EXPECT_EQ(upload.get(), 200);
  ASSERT_FALSE(times.empty());
  std::ranges::sort(times);
  const double beside = times[(times.size() * 95) / 100];
  EXPECT_LE(beside, alone + 100);
  std::cout << "first token p95: alone " << alone << " ms, beside an upload "
            << beside << " ms of " << times.size() << " requests\n";
}

}  // namespace
}  // namespace cardamomyard::harness
