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

/// A lazily started coroutine; destroying it ends it at its current step.
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

/// A process: runs one step at a time and can be killed between any two.
struct actor {
  std::function<task<bool>(actor&)> start;
  std::string name;
  int incarnation = 0;
  task<bool> root;
  std::coroutine_handle<> leaf;
  wall_time paused_until;
  std::chrono::milliseconds skew{0};  ///< Error of the host's wall clock.

  std::string holder() const {
    return name + "." + std::to_string(incarnation);
  }
  void Restart() {
    ++incarnation;
    root = start(*this);
    leaf = root.handle();
  }
  bool finished() const { return root.done(); }
};

struct step {
  actor& self;
  bool await_ready() { return false; }
  void await_suspend(std::coroutine_handle<> at) { self.leaf = at; }
  void await_resume() {}
};

enum class put_status { stored, refused, no_answer };

struct stored_value {
  std::string text;
  std::uint64_t version = 0;  ///< 0: absent.
};

/// The object API with outages, lost answers and writes that take effect after
/// the caller stopped waiting. Reads are never stale.
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
    Settle();
    if (outage || Chance(0.02)) {
      return std::nullopt;
    }
    return values_[key];
  }
  /// \param condition  version expected (0: create only), nothing for none.
  put_status Put(const std::string& key,
                 const std::string& text,
                 std::optional<std::uint64_t> condition) {
    Settle();
    if (outage) {
      return put_status::no_answer;
    }
    if (Chance(0.03)) {
      late_.push_back({key, text, condition});
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
  bool Chance(double p) {
    return faults && std::uniform_real_distribution<>()(random_) < p;
  }
  void Settle() {
    while (!late_.empty() && (!faults || Chance(0.2))) {
      const late_write write = late_.front();
      late_.erase(late_.begin());
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
  std::vector<late_write> late_;
  std::uint64_t version_ = 0;
};

/// Time, actors and faults of one seeded run.
struct world {
  explicit world(std::uint64_t seed) : random(seed), store(random) {}

  std::mt19937_64 random;
  fake_store store;
  wall_time now{std::chrono::hours(1000)};
  std::vector<std::string> violations;
  std::uint64_t nonces = 0;
  int kills = 0;

  std::string Nonce() { return "n" + std::to_string(++nonces); }
  std::size_t Below(std::size_t n) { return random() % n; }
  bool Chance(double p) {
    return std::uniform_real_distribution<>()(random) < p;
  }

  /// Runs \p actors with faults for \p steps and then without, until all end.
  /// \returns false when they do not end.
  bool Run(std::vector<actor>& actors, int steps) {
    for (actor& each : actors) {
      each.skew =
          std::chrono::milliseconds(static_cast<int>(Below(1800)) - 900);
      each.Restart();
    }
    for (int i = 0; i < steps + 200'000; ++i) {
      store.faults = i < steps;
      now += std::chrono::milliseconds(Below(300));
      store.outage = store.faults && Chance(store.outage ? 0.95 : 0.005);
      actor& each = actors[Below(actors.size())];
      if (store.faults && Chance(0.01)) {
        ++kills;
        each.Restart();
      } else if (store.faults && Chance(0.01)) {
        each.paused_until = now + std::chrono::seconds(Below(60));
      } else if (!each.finished() && now >= each.paused_until) {
        each.leaf.resume();
      }
      if (!store.faults &&
          std::all_of(actors.begin(), actors.end(),
                      [](const actor& a) { return a.finished(); })) {
        return true;
      }
    }
    return false;
  }
};

/// Reads until the store answers.
inline task<stored_value> Read(world& in, actor& self, std::string key) {
  while (true) {
    co_await step{self};
    std::optional<stored_value> read = in.store.Get(key);
    if (read) {
      co_return std::move(*read);
    }
  }
}

enum class write_end { applied, superseded };

/// How a writer treats the condition and a lost answer; the unsafe ways show
/// that the oracle notices them.
enum class write_mode { safe, unconditional, blind_retry };

/// Writes a record on the condition of \p base until the outcome is known. The
/// text stands for the nonce in it: it differs for every write of a record.
inline task<write_end> Write(world& in,
                             actor& self,
                             std::string key,
                             std::string text,
                             std::uint64_t base,
                             write_mode mode = write_mode::safe) {
  std::optional<std::uint64_t> condition = base;
  if (mode == write_mode::unconditional) {
    condition.reset();
  }
  while (true) {
    co_await step{self};
    const put_status put = in.store.Put(key, text, condition);
    if (put == put_status::stored) {
      co_return write_end::applied;
    }
    const stored_value read = co_await Read(in, self, key);
    if (mode == write_mode::blind_retry && put == put_status::no_answer) {
      condition = read.version;
      continue;
    }
    const write_outcome judged =
        ResolveWriteOutcome(base, text, read.version, read.text);
    if (judged != write_outcome::not_applied) {
      co_return judged == write_outcome::applied ? write_end::applied
                                                 : write_end::superseded;
    }
  }
}

}  // namespace cardamomyard::simulation

#endif  // CARDAMOMYARD_BATCH_TEST_SIMULATION_H_
