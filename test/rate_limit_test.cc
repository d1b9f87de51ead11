// Guards that an account gets no more than its rate and burst over all hosts,
// and no less while nothing fails.
#include <algorithm>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include "fleet_fixture.h"

namespace cardamomyard::harness {
namespace {

using steady = std::chrono::steady_clock;

constexpr double kRate = 20;
constexpr double kBurst = 20;

/// \brief A request that was answered with 200, by the caller's clock. It was
/// admitted between the two times.
struct admitted_request {
  steady::time_point sent;
  steady::time_point answered;
};

/// \returns the highest ratio of requests that were certainly admitted within
/// a window to what the window allows.
double HighestOverrun(const std::vector<admitted_request>& admitted) {
  double highest = 0;
  for (const admitted_request& first : admitted) {
    std::vector<steady::time_point> ends;
    for (const admitted_request& each : admitted) {
      if (each.sent >= first.sent) {
        ends.push_back(each.answered);
      }
    }
    std::ranges::sort(ends);
    for (std::size_t i = 0; i < ends.size(); ++i) {
      const std::chrono::duration<double> window = ends[i] - first.sent;
      highest = std::max(highest, static_cast<double>(i + 1) /
                                      ((kRate * window.count()) + kBurst));
    }
  }
  return highest;
}

class RateLimitTest : public FleetTest {
 protected:
  ~RateLimitTest() override { StopCallers(); }

  void StartLimited() {
    const std::vector<backend_group> groups{Engines(2)};
    Start({.entry_hosts = 3,
           .groups = groups,
           .configuration = DefaultConfiguration(groups) +
                            "[account.limited]\nrate_per_second = 20.0\n"
                            "burst = 20\nweight = 1.0\nmodels = []\n"});
  }
  http_response Call(std::size_t entry) {
    return fleet_->http().Call(fleet_->entry(entry).address,
                               JsonRequest("POST", kChatPath, ChatBody("a", 1),
                                           fleet_->key("limited")),
                               std::chrono::seconds(3));
  }
  /// Sends about 33 requests/s to one entry host until \sa StopCallers.
  void StartCaller(std::size_t entry) {
    callers_.emplace_back([this, entry] {
      while (!stop_) {
        const auto sent = steady::now();
        const int status = Call(entry).status;
        if (status == 200) {
          const std::scoped_lock lock(mutex_);
          admitted_.push_back({sent, steady::now()});
        }
        std::this_thread::sleep_until(sent + std::chrono::milliseconds(60));
      }
    });
  }
  void StopCallers() {
    stop_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
  }
  std::size_t AdmittedSoFar() {
    const std::scoped_lock lock(mutex_);
    return admitted_.size();
  }
  bool WaitForMore(std::size_t count) {
    const std::size_t wanted = AdmittedSoFar() + count;
    return WaitUntil([&] { return AdmittedSoFar() >= wanted; },
                     std::chrono::seconds(20));
  }

  std::mutex mutex_;
  std::vector<admitted_request> admitted_;
  std::atomic<bool> stop_{false};
  std::vector<std::thread> callers_;
};

TEST_F(RateLimitTest, Rule07_NoOverrunWhileHostsAndStoreFail) {
  StartLimited();
  for (const std::size_t entry : {0, 1, 2, 0, 1, 2}) {
    StartCaller(entry);
  }
  EXPECT_TRUE(WaitForMore(40));
  fleet_->Control(fleet_->store(), R"({"outage":true})");
  fleet_->entry(2).process->Signal(SIGSTOP);
  // Longer than the contact window of 5 s, so that the frozen host resumes
  // without contact.
  const auto frozen = steady::now();
  EXPECT_TRUE(WaitUntil(
      [&] { return steady::now() - frozen > std::chrono::milliseconds(5500); },
      std::chrono::seconds(10)));
  fleet_->entry(2).process->Signal(SIGCONT);
  fleet_->entry(1).process->Kill();
  fleet_->Control(fleet_->store(), R"({"outage":false})");
  ASSERT_TRUE(fleet_->Restart(fleet_->entry(1)));
  // The fleet serves the account again.
  EXPECT_TRUE(WaitForMore(60));
  StopCallers();
  const double overrun = HighestOverrun(admitted_);
  EXPECT_LE(overrun, 1.0);
  std::cout << admitted_.size() << " admitted, overrun " << overrun << "\n";
}

TEST_F(RateLimitTest, Rule07_AccountInsideItsRateIsNotRefused) {
  StartLimited();
  // The only home of the account may have no share before W + 1 s.
  ASSERT_TRUE(WaitUntil([this] { return Call(0).status == 200; }));
  // Nine tenths of the rate through one host, with jitter from a fixed seed.
  std::mt19937 random(7);
  std::uniform_int_distribution<int> jitter(-20, 20);
  auto next = steady::now();
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    std::this_thread::sleep_until(next +
                                  std::chrono::milliseconds(jitter(random)));
    next += std::chrono::microseconds(55'556);
    const http_response answer = Call(0);
    refused += answer.status == 200 ? 0 : 1;
    EXPECT_EQ(answer.status, 200) << answer.body;
  }
  // At most one in a thousand of 200 is none.
  EXPECT_EQ(refused, 0);
}

}  // namespace
}  // namespace cardamomyard::harness
