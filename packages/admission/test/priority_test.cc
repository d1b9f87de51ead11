#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "test/engine_model.h"

namespace cardamomyard {
namespace {

constexpr int kSlots = 20;  // 10 ms + 20 x 1.5 ms = 40 ms.
constexpr request_id kBatch = 1'000'000;
constexpr int kBatchTokens = 100;
const time_point kStart{std::chrono::hours(1)};
const time_point kNever = kStart + std::chrono::hours(1);

struct figures {
  double mean_wait_steps = 0;  ///< From arrival to the start on the engine.
  int p99_wait_steps = 0;
  double p99_first_token_ms = 0;
  double batch_share = 0;  ///< Batch tokens over slots that online left.
  int batch_tokens_twice = 0;
};

enum class mode { alone, with_batch, naive_with_batch };

// Feeds the same seeded online arrivals, counted in steps, in every mode.
class experiment {
 public:
  experiment(mode chosen, double load, double batch_weight)
      : mode_(chosen),
        arrivals_(load * kSlots / 40),
        control_({.capacity = {.initial = kSlots, .max = kSlots},
                  .queue_limit = 100000,
                  .batch_weight = batch_weight}) {}

  figures Run(int steps) {
    std::mt19937_64 random(11);
    std::uniform_int_distribution<int> tokens(20, 60);
    double left = 0;
    double used = 0;
    for (step_ = 0; step_ < steps; ++step_) {
      for (int i = arrivals_(random); i > 0; --i) {
        SubmitOnline(tokens(random));
      }
      OfferBatch();
      const int online = online_running_;
      left += kSlots - online;
      used += engine_.running() - online;
      const duration took = engine_.step_time();
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
    for (const int wait : waits_) {
      result.mean_wait_steps += wait;
    }
    result.mean_wait_steps /= static_cast<double>(waits_.size());
    result.p99_wait_steps = waits_[waits_.size() * 99 / 100];
    result.p99_first_token_ms =
        first_token_ms_[first_token_ms_.size() * 99 / 100];
    result.batch_share = used / left;
    return result;
  }

 private:
  struct arrival {
    time_point at;
    int step = 0;
    int tokens = 0;
  };

  void Start(request_id id) {
    if (id >= kBatch) {
      engine_.Start(id, kBatchTokens);
      return;
    }
    engine_.Start(id, arrived_[id].tokens);
    waits_.push_back(step_ - arrived_[id].step);
    first_token_.push_back(id);
    ++online_running_;
  }

  void SubmitOnline(int tokens) {
    const request_id id = next_online_++;
    arrived_[id] = {now_, step_, tokens};
    if (mode_ == mode::naive_with_batch) {
      if (naive_.Submit(id)) {
        Start(id);
      }
      return;
    }
    const auto decision = control_.SubmitOnline(id, "a", 1, kNever, now_);
    if (const auto* preempt = std::get_if<start_and_preempt>(&decision)) {
      resumed_.push_back(engine_.Cancel(preempt->batch_id));
    }
    if (!std::holds_alternative<request_queued>(decision)) {
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
  std::poisson_distribution<int> arrivals_;
  admission_controller control_;
  naive_admission naive_{kSlots};
  engine_model engine_;
  time_point now_ = kStart;
  int step_ = 0;
  int online_running_ = 0;
  request_id next_online_ = 0;
  request_id next_batch_ = kBatch;
  std::map<request_id, arrival> arrived_;
  std::vector<request_id> first_token_;
  std::deque<int> resumed_;
  std::vector<int> waits_;
  std::vector<double> first_token_ms_;
};

// Guards against head-of-line blocking of online requests behind batch items,
// and against idle slots that batch does not use. First come, first served
// shows what the check would see.
TEST(PriorityTest, Rule03_OnlineWaitIsThatWithoutBatch) {
  for (const double load : {0.5, 0.8, 0.95}) {
    const figures alone = experiment(mode::alone, load, 1).Run(40000);
    const figures with = experiment(mode::with_batch, load, 1).Run(40000);
    const figures naive =
        experiment(mode::naive_with_batch, load, 1).Run(40000);
    EXPECT_LE(with.mean_wait_steps, 1.1 * alone.mean_wait_steps) << load;
    EXPECT_LE(with.p99_wait_steps, 1.1 * alone.p99_wait_steps) << load;
    EXPECT_GE(with.batch_share, 0.9) << load;
    EXPECT_GT(naive.mean_wait_steps, 2 * with.mean_wait_steps + 5) << load;
    for (const auto& [name, result] :
         {std::pair("alone", alone), std::pair("with", with),
          std::pair("naive", naive)}) {
      std::printf(
          "load %.2f %-5s mean wait %.2f p99 wait %d steps, p99 first "
          "token %.1f ms, batch share %.3f\n",
          load, name, result.mean_wait_steps, result.p99_wait_steps,
          result.p99_first_token_ms, result.batch_share);
    }
  }
}

// Guards against a batch_weight without effect: at 0 slots stay free for the
// arrivals, so fewer batch items run.
TEST(PriorityTest, Rule03_ReserveShrinksWithBatchWeight) {
  const double online_first =
      experiment(mode::with_batch, 0.5, 0).Run(5000).batch_share;
  const double batch_first =
      experiment(mode::with_batch, 0.5, 1).Run(5000).batch_share;
  std::printf("batch share at weight 0: %.3f, at 1: %.3f\n", online_first,
              batch_first);
  EXPECT_LT(online_first, batch_first - 0.05);
  EXPECT_GT(online_first, 0.3);
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

}  // namespace
}  // namespace cardamomyard
