#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include "test/simulation.h"

namespace cardamomyard::simulation {
namespace {

constexpr std::size_t kGroups = 3;
constexpr std::size_t kItems = 8;
constexpr std::size_t kPoison = 5;  // Item of group 0 that kills engines.
constexpr char kJobKey[] = "job";

std::string GroupKey(std::size_t group) {
  return "group/" + std::to_string(group);
}
std::string CustomId(std::size_t group, std::size_t item) {
  return "c" + std::to_string(group) + "_" + std::to_string(item) + "!";
}
bool Repeatable(std::size_t item) {
  return item % 2 == 1;
}

// What is left out in a run; the oracle must notice each.
enum class fault {
  none,
  commit_without_condition,
  retry_without_read_back,
  no_intents,
  cancel_without_closing,
};

struct batch_world : world {
  batch_world(std::uint64_t seed, fault off) : world(seed), missing(off) {}

  fault missing;
  std::map<std::pair<std::size_t, std::size_t>, int> starts;

  void Watch() {
    store.on_write = [this](const std::string& key, const std::string& before,
                            const std::string& after) {
      if (key.starts_with("group/")) {
        GroupWritten(key, before, after);
      } else if (key == kJobKey && !before.empty()) {
        const job_record old = job_record::Parse(before).value();
        if (old.finished()) {
          violations.push_back("a finished job changed");
        }
      }
    };
  }
  // No other holder may have taken the group over before a start.
  void CheckStart(std::size_t group, std::uint64_t fence) {
    const group_record stored =
        group_record::Parse(store.Peek(GroupKey(group)).text).value();
    if (!stored.finished() && stored.fence != fence) {
      violations.push_back("an item was started after a takeover");
    }
  }
  void GroupWritten(const std::string& key,
                    const std::string& before,
                    const std::string& after) {
    const std::string& job = store.Peek(kJobKey).text;
    if (!job.empty() && job_record::Parse(job).value().finished()) {
      violations.push_back(key + " changed after the job ended");
    }
    if (before.empty()) {
      return;
    }
    const group_record old = group_record::Parse(before).value();
    const group_record now_is = group_record::Parse(after).value();
    if (old.finished()) {
      violations.push_back(key + " changed after it ended");
    }
    if (!std::equal(
            old.segments.begin(), old.segments.end(), now_is.segments.begin(),
            now_is.segments.begin() +
                std::min(old.segments.size(), now_is.segments.size()))) {
      violations.push_back(key + " lost a committed segment");
    }
    for (std::size_t i = 0; i < old.items.size(); ++i) {
      if (old.items[i].state == item_state::pending) {
        continue;
      }
      if (now_is.items[i] != old.items[i]) {
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

// Applies a change to the job until it is stored, void or refused.
task<result<job_record>> ChangeJob(batch_world& in,
                                   actor& self,
                                   job_change change) {
  while (true) {
    const stored_value read = co_await Read(in, self, kJobKey);
    const job_record before = job_record::Parse(read.text).value();
    result<job_record> next = change(before, in.Nonce());
    if (!next || *next == before) {
      co_return next;
    }
    const write_end end =
        co_await Write(in, self, kJobKey, next->ToJson(), read.version);
    if (end == write_end::applied) {
      co_return next;
    }
  }
}

task<bool> Sweep(batch_world& in, actor& self) {
  item_counts totals;
  for (std::size_t g = 0; g < kGroups; ++g) {
    while (true) {
      const stored_value read = co_await Read(in, self, GroupKey(g));
      const std::optional<group_record> before = ParseGroup(read);
      const group_record closed = CloseForCancel(before, kItems, in.Nonce());
      if (before == closed || in.missing == fault::cancel_without_closing) {
        totals += closed.Counts();
        break;
      }
      co_await Write(in, self, GroupKey(g), closed.ToJson(), read.version);
    }
  }
  const job_change finish = [totals](job_record job, std::string nonce) {
    return FinishCancel(std::move(job), totals, std::move(nonce));
  };
  const result<job_record> ended = co_await ChangeJob(in, self, finish);
  if (!ended) {
    in.violations.push_back("sweep: " + ended.error().message());
  }
  co_return true;
}

task<bool> CancelJob(batch_world& in, actor& self) {
  for (std::size_t wait = in.Below(150); wait > 0; --wait) {
    co_await step{self};
  }
  const job_change start = StartCancel;
  const result<job_record> cancelling = co_await ChangeJob(in, self, start);
  if (cancelling && !cancelling->finished()) {
    co_await Sweep(in, self);
  }
  co_return true;
}

task<bool> MarkDone(batch_world& in,
                    actor& self,
                    std::size_t group,
                    item_counts counts) {
  const job_change mark = [group, counts](job_record job, std::string nonce) {
    return MarkGroupDone(std::move(job), group, counts, std::move(nonce));
  };
  co_await ChangeJob(in, self, mark);
  co_return true;
}

run_report RunItem(batch_world& in, std::size_t item, bool died, bool alone) {
  run_report report;
  report.repeatable = Repeatable(item);
  report.ran_alone = alone;
  if (died) {
    report.engine_died = true;
  } else if (in.Chance(0.1)) {
    report.failure = error::Make(error_kind::overloaded, "full");
  } else {
    constexpr std::array kStatus{200, 200, 200, 200, 400, 500, 503};
    report.http_status = kStatus[in.Below(kStatus.size())];
  }
  return report;
}

// Holds one group from its claim until it ends, is lost or is released.
task<bool> HoldGroup(batch_world& in,
                     actor& self,
                     std::size_t group,
                     group_record record) {
  const group_lease hold{record.holder, record.fence};
  const std::string key = GroupKey(group);
  write_mode commit_mode = write_mode::safe;
  if (in.missing == fault::commit_without_condition) {
    commit_mode = write_mode::unconditional;
  } else if (in.missing == fault::retry_without_read_back) {
    commit_mode = write_mode::blind_retry;
  }
  std::uint64_t sequence = 0;
  stored_value at = co_await Read(in, self, key);
  while (!record.finished()) {
    if (at.text != record.ToJson()) {
      co_return false;
    }
    const std::vector<std::size_t> next =
        NextItems(record, {}, 1 + in.Below(4));
    std::vector<std::size_t> guarded;
    for (const std::size_t i : next) {
      if (!Repeatable(i)) {
        guarded.push_back(i);
      }
    }
    if (!guarded.empty() && in.missing != fault::no_intents) {
      record =
          RecordIntents(record, hold, guarded,
                        in.now + self.skew + kGroupLeaseDuration, in.Nonce())
              .value();
      const write_end end =
          co_await Write(in, self, key, record.ToJson(), at.version);
      if (end == write_end::superseded) {
        co_return false;
      }
      at = co_await Read(in, self, key);
      if (at.text != record.ToJson()) {
        co_return false;
      }
    }
    const bool poisoned = group == 0 && std::find(next.begin(), next.end(),
                                                  kPoison) != next.end();
    segment_builder segment("job", group);
    std::vector<item_result> results;
    for (const std::size_t i : next) {
      co_await step{self};
      run_report report;
      report.failure = error::Make(error_kind::not_ready, "the lease lapsed");
      if (MayStart(record, hold, in.now + self.skew)) {
        in.CheckStart(group, record.fence);
        report = RunItem(in, i, poisoned, next.size() == 1);
      }
      const bool not_run =
          report.failure && report.failure->ran() == outcome::not_run;
      in.starts[{group, i}] += not_run ? 0 : 1;
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
      const write_end end = co_await Write(in, self, segment_key, text, 0);
      if (end == write_end::superseded) {
        in.violations.push_back("a segment name was used twice");
      }
    }
    result<group_record> committed =
        Commit(record, hold, name, results,
               in.now + self.skew + kGroupLeaseDuration, in.Nonce());
    if (!committed) {
      in.violations.push_back("commit: " + committed.error().message());
      co_return false;
    }
    record = std::move(*committed);
    write_end end =
        co_await Write(in, self, key, record.ToJson(), at.version, commit_mode);
    if (end == write_end::superseded) {
      co_return false;
    }
    // The version read belongs to the record only while the text is its own.
    at = co_await Read(in, self, key);
    if (!record.finished() && at.text == record.ToJson() && in.Chance(0.05)) {
      record = Release(record, hold, in.Nonce()).value();
      co_await Write(in, self, key, record.ToJson(), at.version);
      co_return false;
    }
  }
  co_return co_await MarkDone(in, self, group, record.Counts());
}

task<bool> Work(batch_world& in, actor& self) {
  job_picker picker(self.holder());
  std::size_t turn = 0;
  while (true) {
    const stored_value job_read = co_await Read(in, self, kJobKey);
    const job_record job = job_record::Parse(job_read.text).value();
    if (job.finished()) {
      co_return true;
    }
    if (job.state == job_state::cancelling) {
      co_await Sweep(in, self);
      continue;
    }
    const std::vector<std::size_t> order = picker.GroupOrder(job);
    const std::size_t group = order[turn++ % order.size()];
    const stored_value read = co_await Read(in, self, GroupKey(group));
    const std::optional<group_record> before = ParseGroup(read);
    if (before && before->state == group_state::done) {
      co_await MarkDone(in, self, group, before->Counts());
      continue;
    }
    const result<group_record> claimed =
        Claim(before, kItems, self.holder(), in.now + self.skew,
              kGroupLeaseDuration, in.Nonce());
    if (!claimed) {
      continue;
    }
    const write_end end = co_await Write(in, self, GroupKey(group),
                                         claimed->ToJson(), read.version);
    if (end == write_end::applied) {
      co_await HoldGroup(in, self, group, *claimed);
    }
  }
}

std::size_t Occurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = 0; (at = text.find(part, at)) != text.npos; ++at) {
    ++count;
  }
  return count;
}

// Every item has one result line in the file that belongs to its state, and the
// counts of the job are the numbers of items by state.
void CheckEnd(batch_world& in) {
  const job_record job = job_record::Parse(in.store.Peek(kJobKey).text).value();
  item_counts totals;
  for (std::size_t g = 0; g < kGroups; ++g) {
    const std::optional<group_record> record =
        ParseGroup(in.store.Peek(GroupKey(g)));
    if (!record || !record->finished()) {
      in.violations.push_back("the job ended before its groups");
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
          ReadSegment(in.store.Peek(key).text, *record, s);
      lines.output += part.value().output;
      lines.errors += part.value().errors;
    }
    lines.errors += ErrorLinesWithoutSegment("job", g, *record, ids);
    for (std::size_t i = 0; i < kItems; ++i) {
      const bool completed = record->items[i].state == item_state::completed;
      if (Occurrences(lines.output, ids[i]) != (completed ? 1U : 0U) ||
          Occurrences(lines.errors, ids[i]) != (completed ? 0U : 1U)) {
        in.violations.push_back(ids[i] + " has not exactly one result");
      }
      if (!Repeatable(i) && in.starts[{g, i}] > 1) {
        in.violations.push_back(ids[i] + " was started more than once");
      }
    }
  }
  if (job.counts != totals || totals.total() != kGroups * kItems) {
    in.violations.push_back("the counts differ from the results");
  }
}

struct run_summary {
  std::vector<std::string> violations;
  int kills = 0;
  job_state state = job_state::in_progress;
};

run_summary RunJob(std::uint64_t seed, bool with_cancel, fault off) {
  batch_world in(seed, off);
  in.Watch();
  file_manifest manifest;
  manifest.account = "acme";
  manifest.items = kGroups * kItems;
  for (std::size_t g = 0; g < kGroups; ++g) {
    manifest.chunks.push_back("chunk" + std::to_string(g));
    manifest.items_per_chunk.push_back(kItems);
  }
  const job_record job =
      CreateJob("acme", manifest, "/orders", "key", in.now, in.Nonce()).value();
  in.store.faults = false;
  in.store.Put(kJobKey, job.ToJson(), 0);
  std::vector<actor> actors(with_cancel ? 5 : 4);
  for (std::size_t i = 0; i < actors.size(); ++i) {
    actors[i].name = "w" + std::to_string(i);
    actors[i].start = [&in, i](actor& self) {
      return i == 4 ? CancelJob(in, self) : Work(in, self);
    };
  }
  if (!in.Run(actors, 3000)) {
    in.violations.emplace_back("the job did not end");
  } else {
    CheckEnd(in);
  }
  const job_state state =
      job_record::Parse(in.store.Peek(kJobKey).text).value().state;
  return {in.violations, in.kills, state};
}

// Guards against lost, doubled or changed results and repeated runs under
// kills, pauses beyond the lease, outages, and lost and late writes.
TEST(BatchFuzz, Rule01_EveryItemHasOneResult) {
  int kills = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const run_summary end = RunJob(seed, false, fault::none);
    ASSERT_TRUE(end.violations.empty())
        << "seed " << seed << ": " << end.violations.front();
    EXPECT_EQ(end.state, job_state::completed) << "seed " << seed;
    kills += end.kills;
  }
  EXPECT_GT(kills, 1000) << "the run must exercise kills";
}

// Guards against results or items that are added once a job is cancelled.
TEST(BatchFuzz, Rule02_NothingIsAddedAfterTheEnd) {
  int cancelled = 0;
  for (std::uint64_t seed = 1001; seed <= 1300; ++seed) {
    const run_summary end = RunJob(seed, true, fault::none);
    ASSERT_TRUE(end.violations.empty())
        << "seed " << seed << ": " << end.violations.front();
    cancelled += end.state == job_state::cancelled ? 1 : 0;
  }
  EXPECT_GT(cancelled, 50) << "cancels must come before the end of jobs";
}

// \returns the seed of the first run in which the oracle reports \p text.
std::uint64_t FirstViolation(fault off, bool with_cancel, const char* text) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    for (const std::string& each : RunJob(seed, with_cancel, off).violations) {
      if (each.find(text) != each.npos) {
        return seed;
      }
    }
  }
  return 0;
}

// The following guard against an oracle that cannot see the fault.
TEST(BatchFuzz, Rule01_OracleSeesCommitWithoutCondition) {
  EXPECT_NE(FirstViolation(fault::commit_without_condition, false,
                           "lost or changed a committed result"),
            0U);
}
TEST(BatchFuzz, Rule01_OracleSeesRetryWithoutReadBack) {
  EXPECT_NE(FirstViolation(fault::retry_without_read_back, false,
                           "changed after it ended"),
            0U);
}
TEST(BatchFuzz, Rule10_OracleSeesRunsWithoutIntent) {
  EXPECT_NE(FirstViolation(fault::no_intents, false, "started more than once"),
            0U);
}
TEST(BatchFuzz, Rule02_OracleSeesCancelWithoutClosing) {
  EXPECT_NE(FirstViolation(fault::cancel_without_closing, true,
                           "changed after the job ended"),
            0U);
}

}  // namespace
}  // namespace cardamomyard::simulation
