#include <gtest/gtest.h>

#include <cstdio>
#include <deque>
#include <random>

#include "test/engine_model.h"

namespace cardamomyard {
namespace {

constexpr int kSlots = 20;  // 10 ms + 20 x 1.5 ms = 40 ms.
constexpr request_id kBatch = 1'000'000;
constexpr int kBatchTokens = 100;
constexpr time_point kStart{std::chrono::hours(1)};
constexpr time_point kNever = kStart + std::chrono::hours(1);

struct figures {
  double mean_wait_ms = 0;  ///< Time in the queue, 0 for a start at once.
  double p99_wait_ms = 0;
  double p99_first_token_ms = 0;
  double batch_share = 0;  ///< Batch tokens over slots that online left.
};

enum class mode { alone, with_batch, naive_with_batch };

// Feeds the same seeded online arrivals, in time, in every mode. The load is
// the share of the slots that online takes when every step lasts 40 ms.
class experiment {
 public:
  experiment(mode chosen, double load, double batch_weight, engine_model engine)
      : mode_(chosen),
        arrivals_per_second_(load * kSlots / 40 / 0.04),
        control_({.capacity = {.initial = kSlots, .max = kSlots},
                  .queue_limit = 100000,
                  .batch_weight = batch_weight}),
        engine_(std::move(engine)) {}

  figures Run(duration length) {
    std::mt19937_64 random(11);
    std::exponential_distribution<double> gap(arrivals_per_second_);
    std::uniform_int_distribution<int> tokens(20, 60);
    const auto next_gap = [&] {
      return std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(gap(random)));
    };
    time_point arrives = kStart;
    double left = 0;
    double used = 0;
    while (now_ < kStart + length) {
      // Nothing changes within a step, so a request that came in it is decided
      // on at its end and joins the next one.
      for (; arrives <= now_; arrives += next_gap()) {
        SubmitOnline(tokens(random), arrives);
      }
      if (engine_.running() == 0 && mode_ == mode::alone) {
        now_ = arrives;
        continue;
      }
      OfferBatch();
      const duration took = engine_.step_time();
      const int online = online_running_;
      left += kSlots - online;
      used += engine_.running() - online;
      const int running = engine_.running();
      const auto ended = engine_.Step();
      now_ += took;
      for (const request_id id : first_token_) {
        first_token_ms_.push_back(
            std::chrono::duration<double, std::milli>(now_ - arrived_[id].at)
                .count());
      }
      first_token_.clear();
      for (const request_id id : ended) {
        online_running_ -= id < kBatch;
        if (mode_ == mode::naive_with_batch) {
          if (const auto next = naive_.Finished()) {
            Start(*next);
          }
        } else {
          Apply(control_.Finished(id, now_));
        }
      }
      if (mode_ != mode::naive_with_batch) {
        Apply(control_.ObserveStep(took, running, now_));
      }
    }
    std::sort(waits_.begin(), waits_.end());
    std::sort(first_token_ms_.begin(), first_token_ms_.end());
    figures result;
    for (const double wait : waits_) {
      result.mean_wait_ms += wait / static_cast<double>(waits_.size());
    }
    result.p99_wait_ms = waits_[waits_.size() * 99 / 100];
    result.p99_first_token_ms =
        first_token_ms_[first_token_ms_.size() * 99 / 100];
    result.batch_share = used / left;
    return result;
  }

 private:
  struct arrival {
    time_point at;
    int tokens = 0;
    bool queued = false;
  };

  void Start(request_id id) {
    if (id >= kBatch) {
      engine_.Start(id, kBatchTokens);
      return;
    }
    engine_.Start(id, arrived_[id].tokens);
    const arrival& came = arrived_[id];
    waits_.push_back(
        came.queued
            ? std::chrono::duration<double, std::milli>(now_ - came.at).count()
            : 0);
    first_token_.push_back(id);
    ++online_running_;
  }

  void SubmitOnline(int tokens, time_point at) {
    const request_id id = next_online_++;
    arrived_[id] = {at, tokens, false};
    if (mode_ == mode::naive_with_batch) {
      if (naive_.Submit(id)) {
        Start(id);
      } else {
        arrived_[id].queued = true;
      }
      return;
    }
    const auto decision = control_.SubmitOnline(id, "a", 1, kNever, now_);
    if (const auto* preempt = std::get_if<start_and_preempt>(&decision)) {
      resumed_.push_back(engine_.Cancel(preempt->batch_id));
    }
    if (std::holds_alternative<request_queued>(decision)) {
      arrived_[id].queued = true;
    } else {
      Start(id);
    }
  }

  void OfferBatch() {
    if (mode_ == mode::alone) {
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
    while (control_.OfferBatch(next_batch_, now_)) {
      int tokens = kBatchTokens;
      if (!resumed_.empty()) {
        tokens = resumed_.front();
        resumed_.pop_front();
      }
      engine_.Start(next_batch_++, tokens);
    }
  }

  void Apply(const admission_events& events) {
    for (const auto& event : events) {
      if (const auto* start = std::get_if<start_request>(&event)) {
        Start(start->id);
      } else if (const auto* preempt = std::get_if<preempt_batch>(&event)) {
        resumed_.push_back(engine_.Cancel(preempt->id));
      }
    }
  }

  mode mode_;
  double arrivals_per_second_;
  admission_controller control_;
  naive_admission naive_{kSlots};
  engine_model engine_;
  time_point now_ = kStart;
  int online_running_ = 0;
  request_id next_online_ = 0;
  request_id next_batch_ = kBatch;
  std::map<request_id, arrival> arrived_;
  std::vector<request_id> first_token_;
  std::deque<int> resumed_;
  std::vector<double> waits_;
  std::vector<double> first_token_ms_;
};

// 40 ms with 20 sequences. Steps of the flat engine hardly grow with its batch,
// so a longer wait comes from the order of admission. On the steep engine the
// batch items also slow the online streams.
engine_model Flat() {
  return engine_model(std::chrono::microseconds(39800),
                      std::chrono::microseconds(10));
}
engine_model Steep() {
  return engine_model(std::chrono::milliseconds(10),
                      std::chrono::microseconds(1500));
}
constexpr std::chrono::minutes kLength{27};

void Print(const char* name, double load, const figures& result) {
  std::printf(
      "%-12s load %.2f mean wait %.1f p99 wait %.1f ms, p99 first token %.1f "
      "ms, batch share %.3f\n",
      name, load, result.mean_wait_ms, result.p99_wait_ms,
      result.p99_first_token_ms, result.batch_share);
}

// Guards against head-of-line blocking of online requests behind batch items,
// and against idle slots that batch does not use. First come, first served
// shows what the check would see.
TEST(PriorityTest, Rule03_OnlineWaitIsThatWithoutBatch) {
  for (const double load : {0.2, 0.5, 0.8, 0.95}) {
    const figures alone = experiment(mode::alone, load, 1, Flat()).Run(kLength);
    const figures with =
        experiment(mode::with_batch, load, 1, Flat()).Run(kLength);
    const figures naive =
        experiment(mode::naive_with_batch, load, 1, Flat()).Run(kLength);
    Print("alone", load, alone);
    Print("with", load, with);
    Print("naive", load, naive);
    EXPECT_LE(with.mean_wait_ms, 1.1 * alone.mean_wait_ms) << load;
    EXPECT_LE(with.p99_wait_ms, 1.1 * alone.p99_wait_ms) << load;
    EXPECT_LE(with.p99_first_token_ms, 1.1 * alone.p99_first_token_ms) << load;
    EXPECT_GE(with.batch_share, 0.9) << load;
    EXPECT_GT(naive.mean_wait_ms, 2 * with.mean_wait_ms + 200) << load;
  }
}

// Guards against a batch_weight without effect: at 0 slots stay free for the
// arrivals, so fewer batch items run.
TEST(PriorityTest, Rule03_ReserveShrinksWithBatchWeight) {
  const auto share = [](double weight) {
    return experiment(mode::with_batch, 0.5, weight, Flat())
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

// Guards against a batch_weight without effect on an engine whose steps grow
// much with its batch: at 0 the first token keeps within 1.1.
TEST(PriorityTest, Rule03_BatchWeightLimitsTheSlowdown) {
  for (const double load : {0.2, 0.5, 0.8}) {
    const figures alone =
        experiment(mode::alone, load, 1, Steep()).Run(kLength);
    Print("steep alone", load, alone);
    double share = 0;
    for (const double weight : {0.0, 0.25, 0.5, 1.0}) {
      const figures with =
          experiment(mode::with_batch, load, weight, Steep()).Run(kLength);
      Print(("weight " + std::to_string(weight).substr(0, 4)).c_str(), load,
            with);
      if (weight == 0) {
        EXPECT_LE(with.p99_first_token_ms, 1.1 * alone.p99_first_token_ms)
            << load;
      }
      EXPECT_GE(with.batch_share, share) << load << " " << weight;
      share = with.batch_share;
    }
    EXPECT_GE(share, 0.9);
  }
}

// Guards against a capacity that misses the 40 ms target on a fast or a slow
// engine, also when every step has the same number of sequences.
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

// Guards against online requests that wait in the engine's own queue: its steps
// stay short although it runs no more than 64 sequences at once.
TEST(CapacityTest, Rule03_StaysWithinWhatTheEngineRunsAtOnce) {
  constexpr int kMostRunning = 64;
  capacity_estimator estimator;
  int over = 0;
  for (int i = 0; i < 4000; ++i) {
    const int sent = estimator.capacity();
    over += i > 1000 && sent > kMostRunning ? 1 : 0;
    const int running = std::min(sent, kMostRunning);
    estimator.ObserveStep(
        std::chrono::milliseconds(30) + std::chrono::microseconds(20) * running,
        running, sent - running);
  }
  EXPECT_GE(estimator.capacity(), kMostRunning);
  // One try for each sequence beyond the ceiling.
  EXPECT_LE(over, 4);
}

}  // namespace
}  // namespace cardamomyard
