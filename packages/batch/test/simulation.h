#ifndef CARDAMOMYARD_BATCH_TEST_SIMULATION_H_
#define CARDAMOMYARD_BATCH_TEST_SIMULATION_H_

#include <algorithm>
#include <coroutine>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/batch.h"

namespace cardamomyard::simulation {

/// A lazily started coroutine; destroying it ends it at its suspension point.
template <class T>
class task {
 public:
  struct promise_type {
    std::optional<T> value;
    std::coroutine_handle<> caller = std::noop_coroutine();

    task get_return_object() {
      return task(std::coroutine_handle<promise_type>::from_promise(*this));
    }
    std::suspend_always initial_suspend() noexcept { return {}; }
    auto final_suspend() noexcept {
      struct to_caller {
        bool await_ready() noexcept { return false; }
        std::coroutine_handle<> await_suspend(
            std::coroutine_handle<promise_type> self) noexcept {
          return self.promise().caller;
        }
        void await_resume() noexcept {}
      };
      return to_caller{};
    }
    void return_value(T result) { value = std::move(result); }
    void unhandled_exception() { std::terminate(); }
  };

  task() = default;
  task(task&& other) noexcept
      : handle_(std::exchange(other.handle_, nullptr)) {}
  task& operator=(task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~task() {
    if (handle_) {
      handle_.destroy();
    }
  }
  bool await_ready() { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) {
    handle_.promise().caller = caller;
    return handle_;
  }
  T await_resume() { return std::move(*handle_.promise().value); }
  std::coroutine_handle<> handle() const { return handle_; }
  bool done() const { return !handle_ || handle_.done(); }

 private:
  explicit task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
  std::coroutine_handle<promise_type> handle_;
};

/// A simulated process: runs one step at a time and can be killed between any
/// two steps.
struct process {
  std::function<task<bool>(process&)> start;
  std::string name;
  int incarnation = 0;
  task<bool> main_task;
  std::coroutine_handle<> suspended;  ///< Innermost coroutine, to resume.
  wall_time paused_until;
  std::chrono::milliseconds skew{0};  ///< Error of the host's wall clock.

  std::string holder() const {
    return name + "." + std::to_string(incarnation);
  }
  void Restart() {
    ++incarnation;
    main_task = start(*this);
    suspended = main_task.handle();
  }
  bool finished() const { return main_task.done(); }
};

/// Suspends a process until the scheduler chooses it for its next step.
struct yield_to_scheduler {
  process& self;
  bool await_ready() { return false; }
  void await_suspend(std::coroutine_handle<> handle) {
    self.suspended = handle;
  }
  void await_resume() {}
};

enum class put_status { stored, refused, no_answer };

struct stored_value {
  std::string text;
  std::uint64_t version = 0;  ///< 0: absent.
};

/// A store with the conditional writes of the object API, and with outages,
/// lost answers and writes that take effect after the caller stopped waiting.
/// Reads are never stale.
class fake_store {
 public:
  explicit fake_store(std::mt19937_64& random) : random_(random) {}

  std::function<void(const std::string& key,
                     const std::string& before,
                     const std::string& after)>
      on_write = [](const auto&, const auto&, const auto&) {};
  bool faults = true;
  bool outage = false;

  std::optional<stored_value> Get(const std::string& key) {
    ApplyLateWrites();
    if (outage || Chance(0.02)) {
      return std::nullopt;
    }
    return values_[key];
  }
  /// \param condition  the version expected (0: create only); without a value,
  /// the write is unconditional.
  put_status Put(const std::string& key,
                 const std::string& text,
                 std::optional<std::uint64_t> condition) {
    ApplyLateWrites();
    if (outage) {
      return put_status::no_answer;
    }
    if (Chance(0.03)) {
      late_writes_.push_back({key, text, condition});
      return put_status::no_answer;
    }
    const bool stored = Apply({key, text, condition});
    if (Chance(0.08)) {
      return put_status::no_answer;
    }
    return stored ? put_status::stored : put_status::refused;
  }
  const stored_value& Peek(const std::string& key) { return values_[key]; }

 private:
  struct late_write {
    std::string key;
    std::string text;
    std::optional<std::uint64_t> condition;
  };
  bool Chance(double probability) {
    return faults && std::uniform_real_distribution<>()(random_) < probability;
  }
  void ApplyLateWrites() {
    while (!late_writes_.empty() && (!faults || Chance(0.2))) {
      const late_write write = late_writes_.front();
      late_writes_.erase(late_writes_.begin());
      Apply(write);
    }
  }
  bool Apply(const late_write& write) {
    stored_value& value = values_[write.key];
    if (write.condition && *write.condition != value.version) {
      return false;
    }
    on_write(write.key, value.text, write.text);
    value = {write.text, ++version_};
    return true;
  }

  std::mt19937_64& random_;
  std::map<std::string, stored_value> values_;
  std::vector<late_write> late_writes_;
  std::uint64_t version_ = 0;
};

/// Time, random numbers, store and observations of one seeded run.
struct environment {
  explicit environment(std::uint64_t seed) : random(seed), store(random) {}

  std::mt19937_64 random;
  fake_store store;
  wall_time now{std::chrono::hours(1000)};
  std::vector<std::string> violations;
  std::uint64_t nonce_count = 0;
  int kills = 0;

  std::string Nonce() { return "n" + std::to_string(++nonce_count); }
  std::size_t Below(std::size_t bound) { return random() % bound; }
  bool Chance(double probability) {
    return std::uniform_real_distribution<>()(random) < probability;
  }

  /// Runs \p processes with faults for \p steps, then without faults until all
  /// of them end.
  ///
  /// \returns false when they do not end within 200,000 further steps.
  bool Run(std::vector<process>& processes, int steps) {
    for (process& each : processes) {
      each.skew =
          std::chrono::milliseconds(static_cast<int>(Below(1800)) - 900);
      each.Restart();
    }
    for (int i = 0; i < steps + 200'000; ++i) {
      store.faults = i < steps;
      now += std::chrono::milliseconds(Below(300));
      store.outage = store.faults && Chance(store.outage ? 0.95 : 0.005);
      process& chosen = processes[Below(processes.size())];
      if (store.faults && Chance(0.01)) {
        ++kills;
        chosen.Restart();
      } else if (store.faults && Chance(0.01)) {
        chosen.paused_until = now + std::chrono::seconds(Below(60));
      } else if (!chosen.finished() && now >= chosen.paused_until) {
        chosen.suspended.resume();
      }
      if (!store.faults &&
          std::all_of(processes.begin(), processes.end(),
                      [](const process& a) { return a.finished(); })) {
        return true;
      }
    }
    return false;
  }
};

/// Reads until the store answers.
inline task<stored_value> Read(environment& env,
                               process& self,
                               std::string key) {
  while (true) {
    co_await yield_to_scheduler{self};
    std::optional<stored_value> read = env.store.Get(key);
    if (read) {
      co_return std::move(*read);
    }
  }
}

enum class write_result { applied, superseded };

/// How a writer treats the condition and a lost answer. The unsafe modes serve
/// to show that the oracle detects them.
enum class write_mode { safe, unconditional, blind_retry };

/// Writes a record on the condition that its version is \p base_version, until
/// the outcome is known. The text takes the place of the nonce, since it
/// differs for every write of a record.
inline task<write_result> Write(environment& env,
                                process& self,
                                std::string key,
                                std::string text,
                                std::uint64_t base_version,
                                write_mode mode = write_mode::safe) {
  std::optional<std::uint64_t> condition = base_version;
  if (mode == write_mode::unconditional) {
    condition.reset();
  }
  while (true) {
    co_await yield_to_scheduler{self};
    const put_status put = env.store.Put(key, text, condition);
    if (put == put_status::stored) {
      co_return write_result::applied;
    }
    const stored_value read = co_await Read(env, self, key);
    if (mode == write_mode::blind_retry && put == put_status::no_answer) {
      condition = read.version;
      continue;
    }
    const write_outcome outcome =
        ResolveWriteOutcome(base_version, text, read.version, read.text);
    if (outcome != write_outcome::not_applied) {
      co_return outcome == write_outcome::applied ? write_result::applied
                                                  : write_result::superseded;
    }
  }
}

}  // namespace cardamomyard::simulation

#endif  // CARDAMOMYARD_BATCH_TEST_SIMULATION_H_
