#include <gtest/gtest.h>

#include <cstdio>
#include <deque>
#include <random>

#include "test/engine_model.h"

namespace cardamomyard {
namespace {

constexpr int kSlots = 20;  // 10 ms + 20 x 1.5 ms = 40 ms.
constexpr request_id kFirstBatchId = 1'000'000;
constexpr int kBatchTokens = 100;
constexpr time_point kStart{std::chrono::hours(1)};
constexpr time_point kNever = kStart + std::chrono::hours(1);

struct measurements {
  double mean_wait_ms = 0;  ///< Time in the queue, 0 if started at once.
  double p99_wait_ms = 0;
  double p99_first_token_ms = 0;
  double batch_share = 0;  ///< Batch tokens over slots not used by online.
};

enum class mode { online_only, with_batch, naive_with_batch };

// Runs the same seeded online arrivals in every mode. The load is the share of
// the slots that online requests occupy when every step lasts 40 ms.
class experiment {
 public:
  experiment(mode chosen, double load, double batch_weight, engine_model engine)
      : mode_(chosen),
        arrivals_per_second_(load * kSlots / 40 / 0.04),
        controller_({.capacity = {.initial = kSlots, .max = kSlots},
                     .queue_limit = 100000,
                     .batch_weight = batch_weight}),
        engine_(std::move(engine)) {}

  measurements Run(duration length) {
    std::mt19937_64 random(11);
    std::exponential_distribution<double> gap(arrivals_per_second_);
    std::uniform_int_distribution<int> tokens(20, 60);
    const auto next_gap = [&] {
      return std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(gap(random)));
    };
    time_point next_arrival = kStart;
    double free_slot_steps = 0;
    double batch_slot_steps = 0;
    while (now_ < kStart + length) {
      // Requests that arrive during a step are submitted at its end and join
      // the next step.
      for (; next_arrival <= now_; next_arrival += next_gap()) {
        SubmitOnline(tokens(random), next_arrival);
      }
      if (engine_.running() == 0 && mode_ == mode::online_only) {
        now_ = next_arrival;
        continue;
      }
      OfferBatch();
      const duration step_duration = engine_.step_time();
      const int online = online_running_;
      free_slot_steps += kSlots - online;
      batch_slot_steps += engine_.running() - online;
      const int running = engine_.running();
      const auto ended = engine_.Step();
      now_ += step_duration;
      for (const request_id id : first_token_) {
        first_token_ms_.push_back(std::chrono::duration<double, std::milli>(
                                      now_ - arrivals_[id].arrival_time)
                                      .count());
      }
      first_token_.clear();
      for (const request_id id : ended) {
        online_running_ -= id < kFirstBatchId;
        if (mode_ == mode::naive_with_batch) {
          if (const auto next = naive_.ReleaseSlot()) {
            Start(*next);
          }
        } else {
          Apply(controller_.Finished(id, now_));
        }
      }
      if (mode_ != mode::naive_with_batch) {
        Apply(controller_.ObserveStep(step_duration, running, now_));
      }
    }
    std::sort(waits_.begin(), waits_.end());
    std::sort(first_token_ms_.begin(), first_token_ms_.end());
    measurements result;
    for (const double wait : waits_) {
      result.mean_wait_ms += wait / static_cast<double>(waits_.size());
    }
    result.p99_wait_ms = waits_[waits_.size() * 99 / 100];
    result.p99_first_token_ms =
        first_token_ms_[first_token_ms_.size() * 99 / 100];
    result.batch_share = batch_slot_steps / free_slot_steps;
    return result;
  }

 private:
  struct arrival {
    time_point arrival_time;
    int tokens = 0;
    bool queued = false;
  };

  void Start(request_id id) {
    if (id >= kFirstBatchId) {
      engine_.Start(id, kBatchTokens);
      return;
    }
    engine_.Start(id, arrivals_[id].tokens);
    const arrival& request = arrivals_[id];
    waits_.push_back(request.queued ? std::chrono::duration<double, std::milli>(
                                          now_ - request.arrival_time)
                                          .count()
                                    : 0);
    first_token_.push_back(id);
    ++online_running_;
  }

  void SubmitOnline(int tokens, time_point arrival_time) {
    const request_id id = next_online_++;
    arrivals_[id] = {arrival_time, tokens, false};
    if (mode_ == mode::naive_with_batch) {
      if (naive_.Submit(id)) {
        Start(id);
      } else {
        arrivals_[id].queued = true;
      }
      return;
    }
    const auto decision = controller_.SubmitOnline(id, "a", 1, kNever, now_);
    if (const auto* preempt = std::get_if<start_and_preempt>(&decision)) {
      preempted_tokens_.push_back(engine_.Cancel(preempt->batch_id));
    }
    if (std::holds_alternative<request_queued>(decision)) {
      arrivals_[id].queued = true;
    } else {
      Start(id);
    }
  }

  void OfferBatch() {
    if (mode_ == mode::online_only) {
      return;
    }
    if (mode_ == mode::naive_with_batch) {
      while (naive_.queue_length() < kSlots) {
        const request_id id = next_batch_++;
        if (naive_.Submit(id)) {
          Start(id);
        }
      }
      return;
    }
    while (controller_.OfferBatch(next_batch_, now_)) {
      int tokens = kBatchTokens;
      if (!preempted_tokens_.empty()) {
        tokens = preempted_tokens_.front();
        preempted_tokens_.pop_front();
      }
      engine_.Start(next_batch_++, tokens);
    }
  }

  void Apply(const admission_events& events) {
    for (const auto& event : events) {
      if (const auto* start = std::get_if<start_request>(&event)) {
        Start(start->id);
      } else if (const auto* preempt = std::get_if<preempt_batch>(&event)) {
        preempted_tokens_.push_back(engine_.Cancel(preempt->id));
      }
    }
  }

  mode mode_;
  double arrivals_per_second_;
  admission_controller controller_;
  naive_admission naive_{kSlots};
  engine_model engine_;
  time_point now_ = kStart;
  int online_running_ = 0;
  request_id next_online_ = 0;
  request_id next_batch_ = kFirstBatchId;
  std::map<request_id, arrival> arrivals_;
  std::vector<request_id> first_token_;
  std::deque<int> preempted_tokens_;
  std::vector<double> waits_;
  std::vector<double> first_token_ms_;
};

// Both engines take 40 ms per step with 20 sequences. The step time of the flat
// engine hardly depends on the number of sequences, so a longer wait results
// from the order of admission. On the steep engine, batch items also slow the
// online streams.
engine_model FlatEngine() {
  return engine_model(std::chrono::microseconds(39800),
                      std::chrono::microseconds(10));
}
engine_model SteepEngine() {
  return engine_model(std::chrono::milliseconds(10),
                      std::chrono::microseconds(1500));
}
constexpr std::chrono::minutes kRunLength{27};

void Print(const char* name, double load, const measurements& result) {
  std::printf(
      "%-12s load %.2f mean wait %.1f p99 wait %.1f ms, p99 first token %.1f "
      "ms, batch share %.3f\n",
      name, load, result.mean_wait_ms, result.p99_wait_ms,
      result.p99_first_token_ms, result.batch_share);
}

// Online requests must not wait behind batch items (head-of-line blocking), and
// batch must use the idle slots. The waits under first come, first served show
// that the check detects such blocking.
TEST(PriorityTest, Rule03_OnlineWaitIsThatWithoutBatch) {
  for (const double load : {0.2, 0.5, 0.8, 0.95}) {
    const measurements online_only =
        experiment(mode::online_only, load, 1, FlatEngine()).Run(kRunLength);
    const measurements with =
        experiment(mode::with_batch, load, 1, FlatEngine()).Run(kRunLength);
    const measurements naive =
        experiment(mode::naive_with_batch, load, 1, FlatEngine())
            .Run(kRunLength);
    Print("alone", load, online_only);
    Print("with", load, with);
    Print("naive", load, naive);
    EXPECT_LE(with.mean_wait_ms, 1.1 * online_only.mean_wait_ms) << load;
    EXPECT_LE(with.p99_wait_ms, 1.1 * online_only.p99_wait_ms) << load;
    EXPECT_LE(with.p99_first_token_ms, 1.1 * online_only.p99_first_token_ms)
        << load;
    EXPECT_GE(with.batch_share, 0.9) << load;
    EXPECT_GT(naive.mean_wait_ms, 2 * with.mean_wait_ms + 200) << load;
  }
}

// batch_weight must have an effect: at 0, slots are reserved for online
// arrivals, so fewer batch items run.
TEST(PriorityTest, Rule03_ReserveShrinksWithBatchWeight) {
  const auto share = [](double weight) {
    return experiment(mode::with_batch, 0.5, weight, FlatEngine())
        .Run(std::chrono::minutes(3))
        .batch_share;
  };
  const double online_first = share(0);
  const double batch_first = share(1);
  std::printf("batch share at weight 0: %.3f, at 1: %.3f\n", online_first,
              batch_first);
  EXPECT_LT(online_first, batch_first - 0.05);
  EXPECT_GT(online_first, 0.3);
}

// batch_weight must limit the slowdown on an engine whose step time grows
// steeply with the number of sequences: at 0, the p99 time to first token stays
// within 1.1 times that without batch.
TEST(PriorityTest, Rule03_BatchWeightLimitsTheSlowdown) {
  for (const double load : {0.2, 0.5, 0.8}) {
    const measurements online_only =
        experiment(mode::online_only, load, 1, SteepEngine()).Run(kRunLength);
    Print("steep alone", load, online_only);
    double share = 0;
    for (const double weight : {0.0, 0.25, 0.5, 1.0}) {
      const measurements with =
          experiment(mode::with_batch, load, weight, SteepEngine())
              .Run(kRunLength);
      Print(("weight " + std::to_string(weight).substr(0, 4)).c_str(), load,
            with);
      if (weight == 0) {
        EXPECT_LE(with.p99_first_token_ms, 1.1 * online_only.p99_first_token_ms)
            << load;
      }
      EXPECT_GE(with.batch_share, share) << load << " " << weight;
      share = with.batch_share;
    }
    EXPECT_GE(share, 0.9);
  }
}

// The capacity must meet the 40 ms target on fast and slow engines, also while
// every step has the same number of sequences.
TEST(CapacityTest, ConvergesToTheTargetStepTime) {
  for (const int per_sequence_us : {300, 1500, 6000}) {
    capacity_estimator estimator;
    std::mt19937_64 random(3);
    for (int i = 0; i < 4000; ++i) {
      const int running = estimator.capacity() -
                          static_cast<int>(i % 1000 < 500 ? random() % 3 : 0);
      const auto noise = std::chrono::microseconds(random() % 400);
      estimator.ObserveStep(
          std::chrono::milliseconds(10) + noise +
              std::chrono::microseconds(per_sequence_us) * running,
          running);
    }
    const int ideal = 30000 / per_sequence_us;
    EXPECT_NEAR(estimator.capacity(), ideal, 1 + ideal * 0.1);
  }
}

// Online requests must not wait in the engine's own queue. The step time does
// not show the limit: it stays short although the engine runs no more than 64
// sequences at once.
TEST(CapacityTest, Rule03_StaysWithinWhatTheEngineRunsAtOnce) {
  constexpr int kMaxConcurrency = 64;
  capacity_estimator estimator;
  int steps_over_limit = 0;
  for (int i = 0; i < 4000; ++i) {
    const int sent = estimator.capacity();
    steps_over_limit += i > 1000 && sent > kMaxConcurrency ? 1 : 0;
    const int running = std::min(sent, kMaxConcurrency);
    estimator.ObserveStep(
        std::chrono::milliseconds(30) + std::chrono::microseconds(20) * running,
        running, sent - running);
  }
  EXPECT_GE(estimator.capacity(), kMaxConcurrency);
  // The estimator tries one more sequence every 1000 steps.
  EXPECT_LE(steps_over_limit, 4);
}

}  // namespace
}  // namespace cardamomyard
