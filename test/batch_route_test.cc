#include <gtest/gtest.h>

#include <string>

#include "cardamomyard/jobs.h"
#include "platform_fixture.h"

namespace cardamomyard {
namespace {

/// \brief A worker that receives no change of the configuration, and jobs that
/// a gateway with a newer configuration has accepted.
class batch_route_test : public platform_fixture {
 protected:
  void StartLaggingWorker() {
    worker_ = Start("worker", "w1");
    ASSERT_TRUE(Eventually([&] {
      return Logged("w1", "A new configuration is in force.", "") &&
             Logged("w1", "The backend servers have been listed.", "");
    })) << Log("w1");
    store().SetSilentWatches(true);
  }

  /// Stores a job as a gateway does, and tells the worker.
  void Accept(const std::string& id, const std::string& route) {
    fleet_job job;
    job.id = id;
    job.account = "acme";
    job.route = route;
    job.host = "shop.example";
    job.owner = "w1";
    for (int i = 0; i < kItems; ++i) {
      job_item item;
      item.id = id + "-" + std::to_string(i);
      item.path = "/" + route + "/1";
      item.body = "do it";
      job.items.push_back(std::move(item));
    }
    job.total = kItems;
    store().Put("batch-job", id, boost::json::string(EncodeRecord(job)));
    http_request notice;
    notice.method = "POST";
    notice.target = "/internal/job-changed";
    notice.body = id;
    ASSERT_EQ(client().Call(worker_.internal, notice).status, 200);
    ASSERT_TRUE(Eventually([&] {
      return Logged("w1", "A batch job is loaded.", "\"" + id + "\"");
    })) << Log("w1");
  }

  /// Waits for all results of a job. \returns how many items are completed.
  int Completed(const std::string& id) {
    int completed = 0;
    EXPECT_TRUE(Eventually([&] {
      const auto spec = store().Spec("batch-result", id);
      if (!spec.is_string()) {
        return false;
      }
      const auto results = DecodeResults(std::string(spec.as_string()));
      completed = 0;
      for (const listed_result& entry : results->open_page) {
        completed += entry.completed ? 1 : 0;
      }
      return results->count() == kItems;
    })) << Log("w1");
    return completed;
  }

  static constexpr int kItems = 5;

 private:
  host worker_;
};

// Items of accepted jobs on a route that was just added were given up without a
// run, as their worker did not have the new configuration yet.
TEST_F(batch_route_test, Rule01_ItemsOfARouteThatTheWorkerLearnsLateAreRun) {
  StartLaggingWorker();
  AddBatchRoute("fresh", "lm");
  Configure(2, {kKey});
  Accept("j1", "fresh");
  EXPECT_EQ(Completed("j1"), kItems) << Log("w1");
}

// Items of a removed route stay open for ever when the worker waits for it to
// become known.
TEST_F(batch_route_test, Rule01_ItemsOfARemovedRouteAreGivenUp) {
  StartLaggingWorker();
  Configure(2, {kKey});
  Accept("j1", "removed");
  EXPECT_EQ(Completed("j1"), 0);
  EXPECT_EQ(Runs("j1-"), 0U);
}

// A worker that read the configuration while the route was removed must read it
// again for jobs that came after the route was added again.
TEST_F(batch_route_test, Rule01_ItemsOfARouteThatIsAddedAgainAreRun) {
  StartLaggingWorker();
  Accept("j1", "again");
  EXPECT_EQ(Completed("j1"), 0);
  AddBatchRoute("again", "lm");
  Configure(2, {kKey});
  Accept("j2", "again");
  EXPECT_EQ(Completed("j2"), kItems) << Log("w1");
}

// While the store is away a worker cannot tell a removed route from one that it
// does not know; nothing may be given up then.
TEST_F(batch_route_test, Rule01_NoItemIsGivenUpWhileTheStoreIsAway) {
  StartLaggingWorker();
  AddBatchRoute("fresh", "lm");
  Configure(2, {kKey});
  store().RefuseReads("config");
  Accept("j1", "fresh");
  ASSERT_TRUE(Eventually([&] {
    return Logged("w1", "The configuration cannot be read.", "");
  })) << Log("w1");
  EXPECT_TRUE(store().Spec("batch-result", "j1").is_null());
  store().RefuseReads("");
  EXPECT_EQ(Completed("j1"), kItems) << Log("w1");
}

/// \brief Batch jobs of two services, of which the second cannot take items.
class batch_services_test : public platform_fixture {
 protected:
  static constexpr int kItems = 8;
  // The servers of the other service are idle; its items need a fraction of a
  // second.
  static constexpr milliseconds kListedWithin{5000};

  void SetUp() override {
    AddBatchRoute("other", "other");
    Configure(2, {kKey});
  }

  /// Submits jobs of the second service and then one of the first. \returns
  /// whether all items of the last one are listed in time.
  bool ListsItemsOfTheFirstService() {
    const host gateway = StartGateway("g1");
    StartWorker("w1", gateway);
    for (int job = 0; job < 4; ++job) {
      const std::string id = "b" + std::to_string(job);
      EXPECT_EQ(Submit(gateway, id, kItems, id, "other").status, 202);
    }
    EXPECT_EQ(Submit(gateway, "j1", kItems, "i").status, 202);
    return Eventually(
        [&] {
          const auto results = Results(gateway, "j1");
          return results.contains("next") &&
                 results.at("next").to_number<int>() == kItems;
        },
        kListedWithin);
  }
};

// Items of a service that has lost its only server kept all other items from
// their idle servers.
TEST_F(batch_services_test, Rule01_ServiceWithoutServersHoldsUpNoOther) {
  EXPECT_TRUE(ListsItemsOfTheFirstService()) << Log("w1");
}

// The same while the servers of the other service are full.
TEST_F(batch_services_test, Rule01_FullServiceHoldsUpNoOther) {
  engines()[1]->SetEvents(2000);
  RegisterEngine("engine-1", engine_address(1), "ready", "other");
  EXPECT_TRUE(ListsItemsOfTheFirstService()) << Log("w1");
  EXPECT_GT(engines()[1]->running(), 0);
}

}  // namespace
}  // namespace cardamomyard
