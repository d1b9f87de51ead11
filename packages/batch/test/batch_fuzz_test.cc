#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include "test/simulation.h"

namespace cardamomyard::simulation {
namespace {

constexpr std::size_t kGroups = 3;
constexpr std::size_t kItems = 8;
constexpr std::size_t kPoisonItem = 5;  // Item of group 0 that crashes engines.
constexpr char kJobKey[] = "job";

std::string GroupKey(std::size_t group) {
  return "group/" + std::to_string(group);
}
std::string CustomId(std::size_t group, std::size_t item) {
  return "c" + std::to_string(group) + "_" + std::to_string(item) + "!";
}
bool IsRepeatable(std::size_t item) {
  return item % 2 == 1;
}

// A fault that a run injects into the protocol; the oracle must detect each
// one.
enum class protocol_fault {
  none,
  commit_without_condition,
  retry_without_read_back,
  no_intents,
  cancel_without_closing,
};

struct batch_environment : environment {
  batch_environment(std::uint64_t seed, protocol_fault injected)
      : environment(seed), fault(injected) {}

  protocol_fault fault;
  std::map<std::pair<std::size_t, std::size_t>, int> starts;

  void ObserveWrites() {
    store.on_write = [this](const std::string& key, const std::string& before,
                            const std::string& after) {
      if (key.starts_with("group/")) {
        CheckGroupWrite(key, before, after);
      } else if (key == kJobKey && !before.empty()) {
        const job_record previous = job_record::Parse(before).value();
        if (previous.finished()) {
          violations.push_back("a finished job changed");
        }
      }
    };
  }
  // Reports a start after another holder has taken over the group.
  void CheckStart(std::size_t group, std::uint64_t fence) {
    const group_record stored =
        group_record::Parse(store.Peek(GroupKey(group)).text).value();
    if (!stored.finished() && stored.fence != fence) {
      violations.push_back("an item was started after a takeover");
    }
  }
  void CheckGroupWrite(const std::string& key,
                       const std::string& before,
                       const std::string& after) {
    const std::string& job = store.Peek(kJobKey).text;
    if (!job.empty() && job_record::Parse(job).value().finished()) {
      violations.push_back(key + " changed after the job ended");
    }
    if (before.empty()) {
      return;
    }
    const group_record previous = group_record::Parse(before).value();
    const group_record updated = group_record::Parse(after).value();
    if (previous.finished()) {
      violations.push_back(key + " changed after it ended");
    }
    if (!std::equal(
            previous.segments.begin(), previous.segments.end(),
            updated.segments.begin(),
            updated.segments.begin() +
                std::min(previous.segments.size(), updated.segments.size()))) {
      violations.push_back(key + " lost a committed segment");
    }
    for (std::size_t i = 0; i < previous.items.size(); ++i) {
      if (previous.items[i].state == item_state::pending) {
        continue;
      }
      if (updated.items[i] != previous.items[i]) {
        violations.push_back(key + " lost or changed a committed result");
      }
    }
  }
};

std::optional<group_record> ParseGroup(const stored_value& value) {
  if (value.version == 0) {
    return std::nullopt;
  }
  return group_record::Parse(value.text).value();
}

using job_change =
    std::function<result<job_record>(job_record, std::string nonce)>;

// Applies a change to the job record until the change is stored, has no effect
// or is refused.
task<result<job_record>> ChangeJob(batch_environment& env,
                                   process& self,
                                   job_change change) {
  while (true) {
    const stored_value read = co_await Read(env, self, kJobKey);
    const job_record before = job_record::Parse(read.text).value();
    result<job_record> next = change(before, env.Nonce());
    if (!next || *next == before) {
      co_return next;
    }
    const write_result written =
        co_await Write(env, self, kJobKey, next->ToJson(), read.version);
    if (written == write_result::applied) {
      co_return next;
    }
  }
}

task<bool> SweepGroups(batch_environment& env, process& self) {
  item_counts totals;
  for (std::size_t g = 0; g < kGroups; ++g) {
    while (true) {
      const stored_value read = co_await Read(env, self, GroupKey(g));
      const std::optional<group_record> before = ParseGroup(read);
      const group_record closed = CloseForCancel(before, kItems, env.Nonce());
      if (before == closed ||
          env.fault == protocol_fault::cancel_without_closing) {
        totals += closed.Counts();
        break;
      }
      co_await Write(env, self, GroupKey(g), closed.ToJson(), read.version);
    }
  }
  const job_change finish = [totals](job_record job, std::string nonce) {
    return FinishCancel(std::move(job), totals, std::move(nonce));
  };
  const result<job_record> ended = co_await ChangeJob(env, self, finish);
  if (!ended) {
    env.violations.push_back("sweep: " + ended.error().message());
  }
  co_return true;
}

task<bool> CancelJob(batch_environment& env, process& self) {
  for (std::size_t wait = env.Below(150); wait > 0; --wait) {
    co_await yield_to_scheduler{self};
  }
  const job_change start = StartCancel;
  const result<job_record> cancelling = co_await ChangeJob(env, self, start);
  if (cancelling && !cancelling->finished()) {
    co_await SweepGroups(env, self);
  }
  co_return true;
}

task<bool> MarkDone(batch_environment& env,
                    process& self,
                    std::size_t group,
                    item_counts counts) {
  const job_change mark = [group, counts](job_record job, std::string nonce) {
    return MarkGroupDone(std::move(job), group, counts, std::move(nonce));
  };
  co_await ChangeJob(env, self, mark);
  co_return true;
}

run_report RunItem(batch_environment& env,
                   std::size_t item,
                   bool engine_dies,
                   bool alone) {
  run_report report;
  report.repeatable = IsRepeatable(item);
  report.ran_alone = alone;
  if (engine_dies) {
    report.engine_died = true;
  } else if (env.Chance(0.1)) {
    report.failure = error::Make(error_kind::overloaded, "full");
  } else {
    constexpr std::array kStatus{200, 200, 200, 200, 400, 500, 503};
    report.http_status = kStatus[env.Below(kStatus.size())];
  }
  return report;
}

// Runs the items of a claimed group until the group ends, or its lease is lost
// or released.
task<bool> ProcessGroup(batch_environment& env,
                        process& self,
                        std::size_t group,
                        group_record record) {
  const group_lease lease{record.holder, record.fence};
  const std::string key = GroupKey(group);
  write_mode commit_mode = write_mode::safe;
  if (env.fault == protocol_fault::commit_without_condition) {
    commit_mode = write_mode::unconditional;
  } else if (env.fault == protocol_fault::retry_without_read_back) {
    commit_mode = write_mode::blind_retry;
  }
  std::uint64_t sequence = 0;
  stored_value current = co_await Read(env, self, key);
  while (!record.finished()) {
    if (current.text != record.ToJson()) {
      co_return false;
    }
    const std::vector<std::size_t> next =
        NextItems(record, {}, 1 + env.Below(4));
    std::vector<std::size_t> non_repeatable;
    for (const std::size_t i : next) {
      if (!IsRepeatable(i)) {
        non_repeatable.push_back(i);
      }
    }
    if (!non_repeatable.empty() && env.fault != protocol_fault::no_intents) {
      record =
          RecordIntents(record, lease, non_repeatable,
                        env.now + self.skew + kGroupLeaseDuration, env.Nonce())
              .value();
      const write_result written =
          co_await Write(env, self, key, record.ToJson(), current.version);
      if (written == write_result::superseded) {
        co_return false;
      }
      current = co_await Read(env, self, key);
      if (current.text != record.ToJson()) {
        co_return false;
      }
    }
    const bool has_poison_item =
        group == 0 &&
        std::find(next.begin(), next.end(), kPoisonItem) != next.end();
    segment_builder segment("job", group);
    std::vector<item_result> results;
    for (const std::size_t i : next) {
      co_await yield_to_scheduler{self};
      run_report report;
      report.failure =
          error::Make(error_kind::not_ready, "the lease has expired");
      if (MayStart(record, lease, env.now + self.skew)) {
        env.CheckStart(group, record.fence);
        report = RunItem(env, i, has_poison_item, next.size() == 1);
      }
      const bool not_run =
          report.failure && report.failure->ran() == outcome::not_run;
      env.starts[{group, i}] += not_run ? 0 : 1;
      results.push_back(ClassifyResult(i, record.items[i], report));
      item_answer answer;
      answer.item = i;
      answer.custom_id = CustomId(group, i);
      answer.request_id = self.holder();
      answer.status = report.http_status.value_or(0);
      if (results.back().outcome == item_result::run_outcome::failed) {
        answer.failure = results.back().failure;
      }
      if (results.back().outcome == item_result::run_outcome::completed ||
          answer.failure) {
        segment.Add(answer).value();
      }
    }
    std::string name;
    if (!segment.empty()) {
      name = SegmentName(record.fence, ++sequence);
      const std::string text = segment.Take();
      const std::string segment_key =
          "out/" + std::to_string(group) + "/" + name;
      const write_result written =
          co_await Write(env, self, segment_key, text, 0);
      if (written == write_result::superseded) {
        env.violations.push_back("a segment name was used twice");
      }
    }
    result<group_record> committed =
        Commit(record, lease, name, results,
               env.now + self.skew + kGroupLeaseDuration, env.Nonce());
    if (!committed) {
      env.violations.push_back("commit: " + committed.error().message());
      co_return false;
    }
    record = std::move(*committed);
    write_result written = co_await Write(env, self, key, record.ToJson(),
                                          current.version, commit_mode);
    if (written == write_result::superseded) {
      co_return false;
    }
    // The version belongs to this holder's record only if the text is the same.
    current = co_await Read(env, self, key);
    if (!record.finished() && current.text == record.ToJson() &&
        env.Chance(0.05)) {
      record = Release(record, lease, env.Nonce()).value();
      co_await Write(env, self, key, record.ToJson(), current.version);
      co_return false;
    }
  }
  co_return co_await MarkDone(env, self, group, record.Counts());
}

task<bool> RunWorker(batch_environment& env, process& self) {
  job_picker picker(self.holder());
  std::size_t attempt = 0;
  while (true) {
    const stored_value job_read = co_await Read(env, self, kJobKey);
    const job_record job = job_record::Parse(job_read.text).value();
    if (job.finished()) {
      co_return true;
    }
    if (job.state == job_state::cancelling) {
      co_await SweepGroups(env, self);
      continue;
    }
    const std::vector<std::size_t> order = picker.GroupOrder(job);
    const std::size_t group = order[attempt++ % order.size()];
    const stored_value read = co_await Read(env, self, GroupKey(group));
    const std::optional<group_record> before = ParseGroup(read);
    if (before && before->state == group_state::done) {
      co_await MarkDone(env, self, group, before->Counts());
      continue;
    }
    const result<group_record> claimed =
        Claim(before, kItems, self.holder(), env.now + self.skew,
              kGroupLeaseDuration, env.Nonce());
    if (!claimed) {
      continue;
    }
    const write_result written = co_await Write(
        env, self, GroupKey(group), claimed->ToJson(), read.version);
    if (written == write_result::applied) {
      co_await ProcessGroup(env, self, group, *claimed);
    }
  }
}

std::size_t CountOccurrences(const std::string& text, const std::string& word) {
  std::size_t count = 0;
  for (std::size_t position = 0;
       (position = text.find(word, position)) != text.npos; ++position) {
    ++count;
  }
  return count;
}

// Checks that every item has one result line, in the file that belongs to its
// state, and that the counts of the job are the numbers of items by state.
void CheckFinalState(batch_environment& env) {
  const job_record job =
      job_record::Parse(env.store.Peek(kJobKey).text).value();
  item_counts totals;
  for (std::size_t g = 0; g < kGroups; ++g) {
    const std::optional<group_record> record =
        ParseGroup(env.store.Peek(GroupKey(g)));
    if (!record || !record->finished()) {
      env.violations.push_back("the job ended before its groups");
      continue;
    }
    totals += record->Counts();
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < kItems; ++i) {
      ids.push_back(CustomId(g, i));
    }
    result_lines lines;
    for (std::size_t s = 0; s < record->segments.size(); ++s) {
      const std::string key =
          "out/" + std::to_string(g) + "/" + record->segments[s];
      const result<result_lines> part =
          ReadSegment(env.store.Peek(key).text, *record, s);
      lines.output += part.value().output;
      lines.errors += part.value().errors;
    }
    lines.errors += ErrorLinesWithoutSegment("job", g, *record, ids);
    for (std::size_t i = 0; i < kItems; ++i) {
      const bool completed = record->items[i].state == item_state::completed;
      if (CountOccurrences(lines.output, ids[i]) != (completed ? 1U : 0U) ||
          CountOccurrences(lines.errors, ids[i]) != (completed ? 0U : 1U)) {
        env.violations.push_back(ids[i] + " has not exactly one result");
      }
      if (!IsRepeatable(i) && env.starts[{g, i}] > 1) {
        env.violations.push_back(ids[i] + " was started more than once");
      }
    }
  }
  if (job.counts != totals || totals.total() != kGroups * kItems) {
    env.violations.push_back("the counts differ from the results");
  }
}

struct run_summary {
  std::vector<std::string> violations;
  int kills = 0;
  job_state state = job_state::in_progress;
};

run_summary RunJob(std::uint64_t seed,
                   bool with_cancel,
                   protocol_fault injected) {
  batch_environment env(seed, injected);
  env.ObserveWrites();
  file_manifest manifest;
  manifest.account = "acme";
  manifest.items = kGroups * kItems;
  for (std::size_t g = 0; g < kGroups; ++g) {
    manifest.chunks.push_back("chunk" + std::to_string(g));
    manifest.items_per_chunk.push_back(kItems);
  }
  const job_record job =
      CreateJob("acme", manifest, "/orders", "key", env.now, env.Nonce())
          .value();
  env.store.faults = false;
  env.store.Put(kJobKey, job.ToJson(), 0);
  std::vector<process> processes(with_cancel ? 5 : 4);
  for (std::size_t i = 0; i < processes.size(); ++i) {
    processes[i].name = "w" + std::to_string(i);
    processes[i].start = [&env, i](process& self) {
      return i == 4 ? CancelJob(env, self) : RunWorker(env, self);
    };
  }
  if (!env.Run(processes, 3000)) {
    env.violations.emplace_back("the job did not end");
  } else {
    CheckFinalState(env);
  }
  const job_state state =
      job_record::Parse(env.store.Peek(kJobKey).text).value().state;
  return {env.violations, env.kills, state};
}

// Results could be lost, doubled or changed, and items run again, when
// processes are killed or pause beyond their lease, and when the store has
// outages, lost answers and late writes.
TEST(BatchFuzz, Rule01_EveryItemHasOneResult) {
  int kills = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const run_summary run = RunJob(seed, false, protocol_fault::none);
    ASSERT_TRUE(run.violations.empty())
        << "seed " << seed << ": " << run.violations.front();
    EXPECT_EQ(run.state, job_state::completed) << "seed " << seed;
    kills += run.kills;
  }
  EXPECT_GT(kills, 1000) << "the runs must include kills of processes";
}

// A holder that is not yet aware of a cancellation could add results or items
// to the cancelled job.
TEST(BatchFuzz, Rule02_NothingIsAddedAfterTheEnd) {
  int cancelled = 0;
  for (std::uint64_t seed = 1001; seed <= 1300; ++seed) {
    const run_summary run = RunJob(seed, true, protocol_fault::none);
    ASSERT_TRUE(run.violations.empty())
        << "seed " << seed << ": " << run.violations.front();
    cancelled += run.state == job_state::cancelled ? 1 : 0;
  }
  EXPECT_GT(cancelled, 50) << "jobs must be cancelled before they end";
}

// \returns the seed of the first run in which the oracle reports \p text, or 0.
std::uint64_t FirstViolation(protocol_fault injected,
                             bool with_cancel,
                             const char* text) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    for (const std::string& violation :
         RunJob(seed, with_cancel, injected).violations) {
      if (violation.find(text) != violation.npos) {
        return seed;
      }
    }
  }
  return 0;
}

// An oracle that cannot detect a fault would let the tests above pass with it.
// Each of the following tests injects one fault that the oracle must report.
TEST(BatchFuzz, Rule01_OracleSeesCommitWithoutCondition) {
  EXPECT_NE(FirstViolation(protocol_fault::commit_without_condition, false,
                           "lost or changed a committed result"),
            0U);
}
TEST(BatchFuzz, Rule01_OracleSeesRetryWithoutReadBack) {
  EXPECT_NE(FirstViolation(protocol_fault::retry_without_read_back, false,
                           "changed after it ended"),
            0U);
}
TEST(BatchFuzz, Rule10_OracleSeesRunsWithoutIntent) {
  EXPECT_NE(FirstViolation(protocol_fault::no_intents, false,
                           "started more than once"),
            0U);
}
TEST(BatchFuzz, Rule02_OracleSeesCancelWithoutClosing) {
  EXPECT_NE(FirstViolation(protocol_fault::cancel_without_closing, true,
                           "changed after the job ended"),
            0U);
}

}  // namespace
}  // namespace cardamomyard::simulation
