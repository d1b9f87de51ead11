#include <gtest/gtest.h>

#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "cardamomyard/admission.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};

admission_controller Make(int capacity, std::size_t queue_limit = 4) {
  return admission_controller(
      {.capacity = {.initial = capacity, .max = capacity},
       .queue_limit = queue_limit,
       .batch_weight = 1});
}

template <class T>
bool Holds(const online_decision& decision) {
  return std::holds_alternative<T>(decision);
}

// A draining server must not accept new work, nor leave queued requests to time
// out.
TEST(AdmissionTest, Rule11_DrainingServerGetsNoNewWork) {
  auto controller = Make(1);
  controller.SubmitOnline(1, "a", 1, kStart + seconds(9), kStart);
  controller.SubmitOnline(2, "a", 1, kStart + seconds(9), kStart);
  const auto events = controller.BeginDrain(kStart);
  ASSERT_EQ(events.size(), 1U);
  const auto& refused = std::get<refuse_request>(events[0]);
  EXPECT_EQ(refused.id, 2U);
  EXPECT_EQ(refused.cause.kind(), error_kind::draining);
  EXPECT_TRUE(Holds<refuse_request>(
      controller.SubmitOnline(3, "a", 1, kStart + seconds(9), kStart)));
  EXPECT_FALSE(controller.OfferBatch(4, kStart));
  EXPECT_EQ(controller.free_online_slots(), 0);
}

// A drain must not interrupt running requests, nor complete before they end.
TEST(AdmissionTest, Rule12_DrainWaitsForRunningRequests) {
  auto controller = Make(2);
  controller.SubmitOnline(1, "a", 1, kStart + seconds(9), kStart);
  ASSERT_TRUE(controller.OfferBatch(2, kStart));
  EXPECT_TRUE(controller.BeginDrain(kStart).empty());
  controller.Finished(1, kStart);
  EXPECT_FALSE(controller.drained());
  controller.Finished(2, kStart);
  EXPECT_TRUE(controller.drained());
}

// A request that never left the queue must be refused as not run, and a refusal
// because of a full queue must carry Retry-After.
TEST(AdmissionTest, Rule09_QueuedRequestsEndAsNotRun) {
  auto controller = Make(1, 1);
  controller.SubmitOnline(1, "a", 1, kStart + seconds(9), kStart);
  EXPECT_TRUE(Holds<request_queued>(
      controller.SubmitOnline(2, "a", 1, kStart + seconds(1), kStart)));
  const auto full = std::get<refuse_request>(
      controller.SubmitOnline(3, "a", 1, kStart + seconds(1), kStart));
  EXPECT_EQ(full.cause.kind(), error_kind::overloaded);
  EXPECT_EQ(full.cause.ran(), outcome::not_run);
  EXPECT_TRUE(full.cause.retry_after());
  EXPECT_TRUE(controller.Tick(kStart + milliseconds(999)).empty());
  const auto events = controller.Finished(1, kStart + seconds(1));
  ASSERT_EQ(events.size(), 1U);
  const auto& expired = std::get<refuse_request>(events[0]);
  EXPECT_EQ(expired.cause.kind(), error_kind::timeout);
  EXPECT_EQ(expired.cause.ran(), outcome::not_run);
}

// A suspect request must run alone, or a crash that it causes would also fail
// other requests.
TEST(AdmissionTest, Rule14_IsolatedRequestRunsAlone) {
  auto controller = Make(2);
  controller.SubmitOnline(1, "a", 1, kStart + seconds(9), kStart);
  ASSERT_TRUE(controller.OfferBatch(2, kStart));
  EXPECT_EQ(controller.BeginIsolation(9, kStart),
            admission_events{preempt_batch{2}});
  EXPECT_TRUE(Holds<refuse_request>(
      controller.SubmitOnline(3, "a", 1, kStart + seconds(9), kStart)));
  EXPECT_FALSE(controller.OfferBatch(2, kStart));
  EXPECT_EQ(controller.Finished(1, kStart), admission_events{start_request{9}});
  EXPECT_FALSE(controller.OfferBatch(2, kStart));
  EXPECT_EQ(controller.running(), 1);
  controller.Finished(9, kStart);
  EXPECT_TRUE(Holds<start_request>(
      controller.SubmitOnline(4, "a", 1, kStart + seconds(9), kStart)));
}

// An account must not starve others by sending more requests: shares follow the
// weights, whereas first come, first served gives shares by load.
TEST(AdmissionTest, WorstAccountGetsItsFairShare) {
  const std::map<std::string, std::pair<double, int>> accounts = {
      {"flood", {1, 200}}, {"large", {2, 40}}, {"small", {1, 10}}};
  const double total_weight = 4;
  const auto worst_share = [&](bool fair) {
    auto controller = Make(4, 1000);
    naive_admission naive(4);
    std::map<request_id, std::string> owner;
    std::map<std::string, int> served;
    std::deque<request_id> running;
    request_id next = 0;
    const auto submit = [&](const std::string& name) {
      owner[++next] = name;
      const bool started = fair ? Holds<start_request>(controller.SubmitOnline(
                                      next, name, accounts.at(name).first,
                                      kStart + std::chrono::hours(9), kStart))
                                : naive.Submit(next);
      if (started) {
        running.push_back(next);
      }
    };
    for (const auto& [name, account] : accounts) {
      for (int i = 0; i < account.second; ++i) {
        submit(name);
      }
    }
    constexpr int kServed = 8000;
    for (int i = 0; i < kServed; ++i) {
      const request_id done = running.front();
      running.pop_front();
      ++served[owner[done]];
      if (fair) {
        for (const auto& event : controller.Finished(done, kStart)) {
          running.push_back(std::get<start_request>(event).id);
        }
      } else if (const auto started = naive.ReleaseSlot()) {
        running.push_back(*started);
      }
      submit(owner[done]);  // Keeps the account's backlog constant.
    }
    double worst = 1;
    for (const auto& [name, account] : accounts) {
      worst = std::min(worst,
                       served[name] * total_weight / (account.first * kServed));
    }
    return worst;
  };
  const double fair = worst_share(true);
  const double naive = worst_share(false);
  std::printf("worst account: fair %.3f, naive %.3f\n", fair, naive);
  EXPECT_GE(fair, 0.95);
  EXPECT_LT(naive, 0.5);
}

// Random operations, checked against a simple model: each request starts at
// most once and ends once, and no batch item runs while an online request is
// queued.
TEST(AdmissionTest, Rule03_FuzzKeepsOnlineBeforeBatch) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    admission_controller controller({.capacity = {.initial = 4, .max = 8},
                                     .queue_limit = 6,
                                     .batch_weight = 0.1 * double(seed % 11)});
    std::set<request_id> queued;
    std::set<request_id> running;
    request_id next = 0;
    time_point now = kStart;
    const auto start = [&](request_id id) {
      queued.erase(id);
      ASSERT_TRUE(running.insert(id).second);
    };
    const auto apply = [&](const admission_events& events) {
      for (const auto& event : events) {
        if (const auto* started = std::get_if<start_request>(&event)) {
          start(started->id);
        } else if (const auto* batch = std::get_if<preempt_batch>(&event)) {
          ASSERT_EQ(running.erase(batch->id), 1U);
        } else {
          const auto& refused = std::get<refuse_request>(event);
          ASSERT_EQ(refused.cause.ran(), outcome::not_run);
          ASSERT_FALSE(running.contains(refused.id));
          queued.erase(refused.id);
        }
      }
    };
    const auto random_id = [&](const std::set<request_id>& ids) {
      return ids.empty() ? request_id{0}
                         : *std::next(ids.begin(),
                                      static_cast<long>(random() % ids.size()));
    };
    for (int i = 0; i < 2000; ++i) {
      now += milliseconds(random() % 20);
      const auto action = random() % 100;
      if (action < 30) {
        const auto decision = controller.SubmitOnline(
            ++next, std::string(1, static_cast<char>('a' + random() % 3)), 1,
            now + milliseconds(random() % 500), now);
        if (const auto* preempt = std::get_if<start_and_preempt>(&decision)) {
          ASSERT_EQ(running.erase(preempt->batch_id), 1U);
          start(next);
        } else if (Holds<start_request>(decision)) {
          start(next);
        } else if (Holds<request_queued>(decision)) {
          queued.insert(next);
        }
      } else if (action < 55) {
        if (controller.OfferBatch(++next, now)) {
          start(next);
        }
      } else if (action < 80) {
        const request_id id = random_id(running);
        running.erase(id);
        apply(controller.Finished(id, now));
      } else if (action < 85) {
        const request_id id = random_id(random() % 2 == 0 ? queued : running);
        queued.erase(id);
        running.erase(id);
        apply(controller.Cancel(id, now));
      } else if (action < 97) {
        apply(controller.ObserveStep(milliseconds(20 + random() % 30),
                                     controller.running(), now));
      } else if (action < 99) {
        apply(controller.Tick(now));
      } else if (random() % 4 == 0) {
        queued.insert(++next);
        apply(controller.BeginIsolation(next, now));
      }
      ASSERT_EQ(static_cast<int>(running.size()), controller.running());
      ASSERT_LE(controller.queue_length(), 6U);
      if (controller.queue_length() > 0) {
        ASSERT_EQ(controller.batch_running(), 0) << "seed " << seed;
        ASSERT_GE(controller.online_running(), controller.capacity());
      }
    }
  }
}

}  // namespace
}  // namespace cardamomyard
