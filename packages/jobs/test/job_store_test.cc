#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <random>
#include <set>
#include <string>

#include "cardamomyard/jobs.h"
#include "memory/await.h"
#include "memory/memory_store.h"

namespace cardamomyard {
namespace {

using std::chrono::milliseconds;

using standins::Await;
using standins::memory_store;

job_input Input(int items, std::size_t body_bytes = 20) {
  job_input input;
  for (int i = 0; i < items; ++i) {
    job_item item;
    item.id = "item-" + std::to_string(i);
    item.path = "/p/" + std::to_string(i);
    item.headers.Add("Model", "m");
    item.body = std::string(body_bytes, static_cast<char>(i));
    item.tokens = 100 + i;
    input.items.push_back(std::move(item));
  }
  return input;
}

fleet_job Job(const std::string& id, const job_input& input) {
  fleet_job job;
  job.id = id;
  job.account = "acme";
  job.route = "lots";
  job.owner = "worker-1";
  job.total = static_cast<std::int64_t>(input.items.size());
  job.tokens = input.tokens();
  return job;
}

/// Texts that take up to six times their size in a store, when escaped once
/// more than that.
std::string GrowingText(std::size_t bytes) {
  const std::string unit = "\"\\\n\x01\xC3\xA9\xE2\x82\xAC a";
  std::string text;
  while (text.size() < bytes) {
    text += unit;
  }
  return text;
}

class job_store_test : public ::testing::Test {
 protected:
  /// Appends \p results as a worker does, by as many writes as it takes.
  /// \returns the error of a write that failed.
  std::optional<error> AppendAll(const std::string& job,
                                 stored_results& latest,
                                 std::vector<job_item_result> results) {
    while (!results.empty()) {
      auto written = Await(jobs_.Append(job, latest, results));
      if (!written) {
        return written.error();
      }
      const auto added = written->results.count() - latest.results.count();
      EXPECT_GT(added, 0);
      results.erase(results.begin(), results.begin() + added);
      latest = std::move(*written);
    }
    return std::nullopt;
  }

  /// Reads all results as a caller does.
  std::vector<job_item_result> ReadAll(const std::string& job,
                                       std::size_t max_bytes) {
    std::vector<job_item_result> all;
    const auto current = Await(jobs_.ReadResults(job));
    while (current &&
           static_cast<std::int64_t>(all.size()) < current->results.count()) {
      const auto page = Await(
          jobs_.ReadFrom(job, current->results,
                         static_cast<std::int64_t>(all.size()), max_bytes));
      if (!page || page->empty()) {
        ADD_FAILURE() << "a page of results cannot be read";
        break;
      }
      all.insert(all.end(), page->begin(), page->end());
    }
    return all;
  }

  time_point Deadline(milliseconds time = milliseconds(500)) const {
    return clock_.Now() + time;
  }

  host_clock clock_;
  memory_store store_;
  job_store jobs_{store_, clock_};
};

// The input of a large job is split into several records, which must give the
// same items when they are read back.
TEST_F(job_store_test, InputOfSeveralPartsIsReadBackUnchanged) {
  store_.max_bytes = 4000;
  const job_input input = Input(40, 200);
  ASSERT_TRUE(Await(jobs_.Accept(Job("j", input), input, Deadline())));
  const auto stored = Await(jobs_.Read("j"));
  ASSERT_TRUE(stored && *stored);
  EXPECT_GT((*stored)->record.input_parts, 1);
  EXPECT_EQ(Await(jobs_.ReadInput((*stored)->record)), input);
}

// With separate records a caller would wait for two calls to a slow store. An
// update of the record must not lose the items in it.
TEST_F(job_store_test, SmallJobIsAcceptedByOneWriteAndKeepsItsItems) {
  const job_input input = Input(10, 1000);
  ASSERT_TRUE(Await(jobs_.Accept(Job("j", input), input, Deadline())));
  EXPECT_EQ(store_.calls, 1);
  auto stored = Await(jobs_.Read("j"));
  ASSERT_TRUE(stored && *stored);
  fleet_job record = (*stored)->record;
  EXPECT_EQ(record.input_parts, 0);
  record.owner = "worker-2";
  ++record.owner_changes;
  ASSERT_TRUE(Await(jobs_.Update(record, (*stored)->revision)));
  ASSERT_TRUE(Await(jobs_.Cancel("j", "acme", Deadline())));
  stored = Await(jobs_.Read("j"));
  ASSERT_TRUE(stored && *stored);
  EXPECT_EQ((*stored)->record.owner_changes, 1);
  EXPECT_EQ(Await(jobs_.ReadInput((*stored)->record)), input);
}

// A job can exist although the answer to its creation was lost; a refusal that
// says "not run" would then be wrong.
TEST_F(job_store_test, Rule09_LostAnswerToAcceptanceIsNotReportedAsNotRun) {
  const job_input input = Input(2);
  store_.faults = [](std::string_view call, const std::string& kind) {
    return call == "create" && kind == job_store::kJobKind
               ? memory_store::fault::lost_before
               : memory_store::fault::none;
  };
  const auto lost = Await(jobs_.Accept(Job("j", input), input, Deadline()));
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().ran(), outcome::may_have_run);

  store_.faults = [](std::string_view, const std::string&) {
    return memory_store::fault::refused;
  };
  const auto refused = Await(jobs_.Accept(Job("k", input), input, Deadline()));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().ran(), outcome::not_run);
}

// When the answer to its creation is lost, a job must be accepted exactly once.
TEST_F(job_store_test, Rule01_AcceptanceIsRetriedUntilTheStoreConfirms) {
  const job_input input = Input(2);
  int lost = 2;
  store_.faults = [&lost](std::string_view call, const std::string&) {
    return call == "create" && lost-- > 0 ? memory_store::fault::lost_after
                                          : memory_store::fault::none;
  };
  EXPECT_TRUE(Await(jobs_.Accept(Job("j", input), input, Deadline())));
  EXPECT_TRUE(Await(jobs_.Accept(Job("j", input), input, Deadline())));
  const auto stored = Await(jobs_.Read("j"));
  ASSERT_TRUE(stored && *stored);
  EXPECT_EQ((*stored)->record.total, 2);
}

// An owner that was cut off stored results after another worker had loaded the
// job: callers read them, and later they were missing.
TEST_F(job_store_test, Rule01_EarlierOwnerCannotStoreAfterATakeover) {
  for (const bool had_results : {false, true}) {
    const std::string job = had_results ? "j" : "k";
    stored_results earlier;
    if (had_results) {
      earlier = *Await(jobs_.Append(job, earlier, {{"item-0", true, "a"}}));
    }
    const auto taken = Await(jobs_.FenceResults(job));
    ASSERT_TRUE(taken) << taken.error().message();
    EXPECT_EQ(taken->results.count(), had_results ? 1 : 0);
    const auto late =
        Await(jobs_.Append(job, earlier, {{"item-1", true, "b"}}));
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().kind(), error_kind::conflict);
    EXPECT_EQ(Await(jobs_.ReadResults(job))->results, taken->results);
    EXPECT_TRUE(Await(jobs_.Append(job, *taken, {{"item-1", true, "c"}})));
  }
}

// Two workers could list different results at the same position. Whichever
// answers are lost and whoever writes, a position never changes.
RC_GTEST_PROP(JobStore, Rule01_PositionsNeverChange, (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  const host_clock clock;
  memory_store store;
  store.max_bytes = 900;
  job_store jobs(store, clock);
  store.faults = [&random](std::string_view call, const std::string&) {
    if (call != "create" && call != "replace") {
      return memory_store::fault::none;
    }
    const auto roll = random() % 8;
    return roll == 0   ? memory_store::fault::lost_after
           : roll == 1 ? memory_store::fault::lost_before
           : roll == 2 ? memory_store::fault::refused
                       : memory_store::fault::none;
  };
  std::vector<stored_results> views(2);
  std::vector<job_item_result> seen;
  std::set<std::string> listed;
  for (int step = 0; step < 40; ++step) {
    stored_results& view = views[random() % views.size()];
    const std::string item = "item-" + std::to_string(random() % 12);
    // A worker lists only items that its own view does not list.
    bool known = false;
    std::int64_t position = 0;
    while (position < view.results.count()) {
      const auto page =
          Await(jobs.ReadFrom("j", view.results, position, 1U << 20U));
      RC_ASSERT(page.has_value());
      RC_ASSERT(!page->empty());
      for (const job_item_result& entry : *page) {
        known |= entry.item == item;
      }
      position += static_cast<std::int64_t>(page->size());
    }
    if (!known) {
      auto written = Await(
          jobs.Append("j", view, {{item, true, std::string(100, 'x') + item}}));
      if (written) {
        view = std::move(*written);
      } else if (written.error().kind() == error_kind::conflict) {
        view = *Await(jobs.ReadResults("j"));
      }
    }
    // The results that a reader sees now must extend those seen before.
    const auto current = *Await(jobs.ReadResults("j"));
    std::vector<job_item_result> now;
    while (static_cast<std::int64_t>(now.size()) < current.results.count()) {
      const auto page = Await(
          jobs.ReadFrom("j", current.results,
                        static_cast<std::int64_t>(now.size()), 1U << 20U));
      RC_ASSERT(page.has_value());
      RC_ASSERT(!page->empty());
      now.insert(now.end(), page->begin(), page->end());
    }
    RC_ASSERT(now.size() >= seen.size());
    RC_ASSERT(std::equal(seen.begin(), seen.end(), now.begin()));
    seen = std::move(now);
  }
  for (const job_item_result& entry : seen) {
    RC_ASSERT(listed.insert(entry.item).second);
  }
}

// A cancellation that is acknowledged but not stored would let the job run on.
TEST_F(job_store_test, Rule02_CancellationIsStoredBeforeItIsAcknowledged) {
  const job_input input = Input(1);
  ASSERT_TRUE(Await(jobs_.Accept(Job("j", input), input, Deadline())));
  int refusals = 2;
  store_.faults = [&refusals](std::string_view call, const std::string&) {
    return call == "replace" && refusals-- > 0 ? memory_store::fault::lost_after
                                               : memory_store::fault::none;
  };
  EXPECT_TRUE(Await(jobs_.Cancel("j", "acme", Deadline())));
  EXPECT_TRUE((*Await(jobs_.Read("j")))->record.cancelled);
  EXPECT_EQ(Await(jobs_.Cancel("j", "other", Deadline())).error().kind(),
            error_kind::not_found);
}

// Results that were ready together and larger than one value of the store were
// written again for ever, and no result of the job was listed.
TEST_F(job_store_test, Rule01_ResultsThatPileUpAreStoredInSeveralWrites) {
  for (const std::size_t bytes : {100U, 1000U, 4000U}) {
    for (const bool grows : {false, true}) {
      const std::string job = std::to_string(bytes) + (grows ? "g" : "");
      store_.max_bytes = 20'000;
      std::vector<job_item_result> results;
      results.reserve(200);
      for (int i = 0; i < 200; ++i) {
        results.push_back(
            {"item-" + std::to_string(i), i % 9 != 0,
             grows ? GrowingText(bytes) : std::string(bytes, 'x')});
      }
      stored_results latest;
      const auto failed = AppendAll(job, latest, results);
      ASSERT_FALSE(failed) << failed->message();
      EXPECT_EQ(ReadAll(job, 50'000), results);
    }
  }
}

// A result that is larger than any value of the store must neither be lost nor
// hold up the others.
TEST_F(job_store_test, Rule01_TextThatIsLongerThanAValueIsListed) {
  store_.max_bytes = 2000;
  const std::vector<job_item_result> results{
      {"short", true, "a"},
      {"long", true, std::string(9000, 'x')},
      {"grows", true, GrowingText(5000)},
      {"same", true, GrowingText(5000)},
      {"last", true, "b"}};
  stored_results latest;
  int lost = 0;
  store_.faults = [&lost](std::string_view call, const std::string&) {
    return call == "create" && ++lost % 3 == 0 ? memory_store::fault::lost_after
                                               : memory_store::fault::none;
  };
  for (int attempt = 0; attempt < 100; ++attempt) {
    const auto done = static_cast<std::ptrdiff_t>(latest.results.count());
    if (!AppendAll("j", latest, {results.begin() + done, results.end()})) {
      break;
    }
  }
  EXPECT_EQ(ReadAll("j", 500), results);
  EXPECT_EQ(ReadAll("j", 1U << 20U), results);
}

// Callers accept answers of a bounded size, in which a text takes more bytes
// than it has.
TEST(SliceResults, AnswersAreBoundedBySizeAsJson) {
  const std::vector<job_item_result> results(
      40, {"item", true, std::string(50'000, '"')});
  const auto taken = SliceResults(results, 0, 700'000);
  EXPECT_EQ(taken.size(), 6U);
  EXPECT_EQ(SliceResults(results, 39, 10).size(), 1U);
  EXPECT_TRUE(SliceResults(results, 40, 10).empty());
}

// Items with short bodies and many quotes in their headers were refused,
// although each fits into a value of the store.
TEST_F(job_store_test, InputThatGrowsWhenItIsEncodedIsAccepted) {
  store_.max_bytes = 4000;
  job_input input = Input(40);
  for (job_item& item : input.items) {
    item.headers.Add("X-Note", std::string(500, '"'));
  }
  const auto accepted = Await(jobs_.Accept(Job("j", input), input, Deadline()));
  ASSERT_TRUE(accepted) << accepted.error().message();
  EXPECT_EQ(Await(jobs_.ReadInput((*Await(jobs_.Read("j")))->record)), input);
}

TEST_F(job_store_test, RemovedJobLeavesNothingBehind) {
  store_.max_bytes = 2000;
  const job_input input = Input(10, 200);
  ASSERT_TRUE(Await(jobs_.Accept(Job("j", input), input, Deadline())));
  stored_results latest;
  for (int i = 0; i < 10; ++i) {
    latest =
        *Await(jobs_.Append("j", latest,
                            {{"item-" + std::to_string(i), true,
                              std::string(i % 4 == 0 ? 5000 : 300, 'x')}}));
  }
  EXPECT_FALSE(latest.results.sealed_page_sizes.empty());
  const auto stored = Await(jobs_.Read("j"));
  boost::asio::io_context context;
  auto done = boost::asio::co_spawn(
      context, jobs_.Remove((*stored)->record, latest.results),
      boost::asio::use_future);
  context.run();
  done.get();
  EXPECT_TRUE(store_.records.empty());
}

}  // namespace
}  // namespace cardamomyard
