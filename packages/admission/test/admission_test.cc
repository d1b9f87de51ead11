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

// Guards against new work on a leaving server, and a queue left to time out.
TEST(AdmissionTest, Rule11_DrainingServerGetsNoNewWork) {
  auto control = Make(1);
  control.SubmitOnline(1, "a", 1, kStart + seconds(9), kStart);
  control.SubmitOnline(2, "a", 1, kStart + seconds(9), kStart);
  const auto events = control.BeginDrain(kStart);
  ASSERT_EQ(events.size(), 1U);
  const auto& refused = std::get<refuse_request>(events[0]);
  EXPECT_EQ(refused.id, 2U);
  EXPECT_EQ(refused.cause.kind(), error_kind::draining);
  EXPECT_TRUE(Holds<refuse_request>(
      control.SubmitOnline(3, "a", 1, kStart + seconds(9), kStart)));
  EXPECT_FALSE(control.OfferBatch(4, kStart));
  EXPECT_EQ(control.free_online_slots(), 0);
}

// Guards against a stop that interrupts running requests or ends before them.
TEST(AdmissionTest, Rule12_DrainWaitsForRunningRequests) {
  auto control = Make(2);
  control.SubmitOnline(1, "a", 1, kStart + seconds(9), kStart);
  ASSERT_TRUE(control.OfferBatch(2, kStart));
  EXPECT_TRUE(control.BeginDrain(kStart).empty());
  control.Finished(1, kStart);
  EXPECT_FALSE(control.drained());
  control.Finished(2, kStart);
  EXPECT_TRUE(control.drained());
}

// Guards against a refusal whose outcome is unknown although the request never
// left the queue, and against a full queue without Retry-After.
TEST(AdmissionTest, Rule09_QueuedRequestsEndAsNotRun) {
  auto control = Make(1, 1);
  control.SubmitOnline(1, "a", 1, kStart + seconds(9), kStart);
  EXPECT_TRUE(Holds<request_queued>(
      control.SubmitOnline(2, "a", 1, kStart + seconds(1), kStart)));
  const auto full = std::get<refuse_request>(
      control.SubmitOnline(3, "a", 1, kStart + seconds(1), kStart));
  EXPECT_EQ(full.cause.kind(), error_kind::overloaded);
  EXPECT_EQ(full.cause.ran(), outcome::not_run);
  EXPECT_TRUE(full.cause.retry_after());
  EXPECT_TRUE(control.Tick(kStart + milliseconds(999)).empty());
  const auto events = control.Finished(1, kStart + seconds(1));
  ASSERT_EQ(events.size(), 1U);
  const auto& expired = std::get<refuse_request>(events[0]);
  EXPECT_EQ(expired.cause.kind(), error_kind::timeout);
  EXPECT_EQ(expired.cause.ran(), outcome::not_run);
}

// Guards against a suspect that takes bystanders down with it.
TEST(AdmissionTest, Rule14_IsolatedRequestRunsAlone) {
  auto control = Make(2);
  control.SubmitOnline(1, "a", 1, kStart + seconds(9), kStart);
  ASSERT_TRUE(control.OfferBatch(2, kStart));
  EXPECT_EQ(control.BeginIsolation(9, kStart),
            admission_events{preempt_batch{2}});
  EXPECT_TRUE(Holds<refuse_request>(
      control.SubmitOnline(3, "a", 1, kStart + seconds(9), kStart)));
  EXPECT_FALSE(control.OfferBatch(2, kStart));
  EXPECT_EQ(control.Finished(1, kStart), admission_events{start_request{9}});
  EXPECT_FALSE(control.OfferBatch(2, kStart));
  EXPECT_EQ(control.running(), 1);
  control.Finished(9, kStart);
  EXPECT_TRUE(Holds<start_request>(
      control.SubmitOnline(4, "a", 1, kStart + seconds(9), kStart)));
}

// Guards against an account that crowds out others by sending more: shares
// follow the weights, while first come, first served follows the load.
TEST(AdmissionTest, WorstAccountGetsItsFairShare) {
  const std::map<std::string, std::pair<double, int>> accounts = {
      {"flood", {1, 200}}, {"large", {2, 40}}, {"small", {1, 10}}};
  const double total_weight = 4;
  const auto worst_share = [&](bool fair) {
    auto control = Make(4, 1000);
    naive_admission naive(4);
    std::map<request_id, std::string> owner;
    std::map<std::string, int> served;
    std::deque<request_id> running;
    request_id next = 0;
    const auto submit = [&](const std::string& name) {
      owner[++next] = name;
      const bool started = fair ? Holds<start_request>(control.SubmitOnline(
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
        for (const auto& event : control.Finished(done, kStart)) {
          running.push_back(std::get<start_request>(event).id);
        }
      } else if (const auto started = naive.Finished()) {
        running.push_back(*started);
      }
      submit(owner[done]);  // Each account keeps its backlog.
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

// Stateful fuzz against a simple oracle: each request starts at most once and
// ends once, and no batch item runs while an online request is queued.
TEST(AdmissionTest, Rule03_FuzzKeepsOnlineBeforeBatch) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    admission_controller control({.capacity = {.initial = 4, .max = 8},
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
    const auto any = [&](const std::set<request_id>& ids) {
      return ids.empty() ? request_id{0}
                         : *std::next(ids.begin(),
                                      static_cast<long>(random() % ids.size()));
    };
    for (int i = 0; i < 2000; ++i) {
      now += milliseconds(random() % 20);
      const auto action = random() % 100;
      if (action < 30) {
        const auto decision = control.SubmitOnline(
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
        if (control.OfferBatch(++next, now)) {
          start(next);
        }
      } else if (action < 80) {
        const request_id id = any(running);
        running.erase(id);
        apply(control.Finished(id, now));
      } else if (action < 85) {
        const request_id id = any(random() % 2 == 0 ? queued : running);
        queued.erase(id);
        running.erase(id);
        apply(control.Cancel(id, now));
      } else if (action < 97) {
        apply(control.ObserveStep(milliseconds(20 + random() % 30),
                                  control.running(), now));
      } else if (action < 99) {
        apply(control.Tick(now));
      } else if (random() % 4 == 0) {
        queued.insert(++next);
        apply(control.BeginIsolation(next, now));
      }
      ASSERT_EQ(static_cast<int>(running.size()), control.running());
      ASSERT_LE(control.queue_length(), 6U);
      if (control.queue_length() > 0) {
        ASSERT_EQ(control.batch_running(), 0) << "seed " << seed;
        ASSERT_GE(control.online_running(), control.capacity());
      }
    }
  }
}

}  // namespace
}  // namespace cardamomyard
