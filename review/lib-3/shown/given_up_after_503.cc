// A server fails part of its requests with 503, without Not-Executed. Checked:
// an item is listed as dead_letter only after a 422 or `max-attempts` answers
// of 500, as its route stays, its job is not ended and `retention-s` is not
// over.
#include "../rig.h"

using namespace rig;

namespace {

constexpr int kJobs = 6;
constexpr int kItems = 32;
constexpr int kMaxAttempts = 3;

}  // namespace

int main(int, char** arguments) {
  record::Open(arguments[1]);
  deployment all;
  std::vector<std::unique_ptr<backend>> servers;
  std::atomic<bool> grey{false};
  std::atomic<int> turn{0};
  for (int i = 0; i < 3; ++i) {
    servers.push_back(
        std::make_unique<backend>(all.NextIp(), "i-" + NewId().substr(0, 10), 8,
                                  backend::plan{.events = 20, .gap = 20ms}));
    servers.back()->Register(all.data(), "carver-model");
    servers.back()->answer_instead =
        [&, i](connection& link, const message& request,
               backend& self) -> std::optional<bool> {
      if (!grey || i != 0 || ++turn % 5 >= 2) {
        return std::nullopt;
      }
      record::Line("server " + self.id() + " fails " +
                   Header(request.fields, "Request-Id") + " with 503");
      return link.Write(Answer(503, self.Fields(request), "failed"));
    };
  }
  all.data().Put("config", "main",
                 Configuration(1,
                               {Route("lots", "batch", "carver-model", 15000,
                                      400, kMaxAttempts, false)},
                               {json::object{{"name", "carver-model"}}}));
  machine& gateway = all.Add("gateway", "edge-1");
  machine& worker_1 = all.Add("worker", "storage-1");
  machine& worker_2 = all.Add("worker", "storage-2");
  for (machine* each : {&gateway, &worker_1, &worker_2}) {
    all.Start(*each);
  }
  if (!WaitUntil([&] { return all.Ready(gateway); }, 10s)) {
    Finish(all, kCouldNotRun, "the gateway is not ready");
  }
  Sleep(3000ms);
  grey = Trouble();
  std::vector<std::string> jobs;
  for (int i = 0; i < kJobs; ++i) {
    const std::vector<std::string> items = NewIds(kItems);
    jobs.push_back(NewId());
    if (Submit(gateway, "lots", jobs.back(), items).status != 202) {
      Finish(all, kCouldNotRun, "a job was not accepted");
    }
  }
  const time_point end = clock_type::now() + 36s;
  std::map<std::string, std::size_t> next;
  int listed = 0;
  int dead = 0;
  while (clock_type::now() < end && listed < kJobs * kItems) {
    Sleep(500ms);
    for (const std::string& job : jobs) {
      int status = 0;
      const auto read = ReadJob(gateway, job, next[job], status);
      if (!read) {
        continue;
      }
      for (const json::value& result : read->at("results").as_array()) {
        ++next[job];
        ++listed;
        record::Line("client reads item " + json::serialize(result.at("id")) +
                     ": " + json::serialize(result.at("state")));
        dead += result.at("state") == "dead_letter" ? 1 : 0;
      }
    }
  }
  if (dead > 0) {
    Finish(all, kBroken,
           "MIXED: " + std::to_string(dead) + " of " + std::to_string(listed) +
               " listed items are dead_letter, though no server answered 422 "
               "or 500");
  }
  if (listed < kJobs * kItems / 2) {
    Finish(all, kCouldNotRun, "too few items were listed");
  }
  Finish(all, kHeld, std::to_string(listed) + " items were listed, all done");
}
