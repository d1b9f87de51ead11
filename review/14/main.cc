// One answer of one server holds wrong bytes: the line with the id of one
// event. Checked: an item that is listed as completed holds the data of all
// events of its answer, in order.
#include "../lib-3/rig.h"

using namespace rig;

namespace {

constexpr int kJobs = 6;
constexpr int kItems = 32;
constexpr int kEvents = 20;
constexpr int kSpoiledEvent = 7;

std::string WholeText(const std::string& item) {
  std::string text;
  for (int number = 1; number <= kEvents; ++number) {
    text += (number > 1 ? "\n" : "") + backend::EventData(item, number);
  }
  return text;
}

}  // namespace

int main(int, char** arguments) {
  record::Open(arguments[1]);
  deployment all;
  std::vector<std::unique_ptr<backend>> servers;
  std::atomic<int> spoils{0};
  for (int i = 0; i < 3; ++i) {
    servers.push_back(std::make_unique<backend>(
        all.NextIp(), "i-" + NewId().substr(0, 10), 8,
        backend::plan{.events = kEvents, .gap = 20ms}));
    servers.back()->Register(all.data(), "carver-model");
    servers.back()->answer_instead = [&](connection& link,
                                         const message& request,
                                         backend& self) -> std::optional<bool> {
      if (spoils.fetch_sub(1) <= 0) {
        return std::nullopt;
      }
      const std::string id = Header(request.fields, "Request-Id");
      record::Line("server " + self.id() + " hands out wrong bytes to " + id);
      link.Write(self.StreamHead(request));
      for (int number = 1; number <= kEvents; ++number) {
        Sleep(20ms);
        // The name of the field is spoiled; all else is the usual answer.
        const std::string field = number == kSpoiledEvent ? "iX: " : "id: ";
        link.Write(Chunk(field + std::to_string(number) +
                         "\ndata: " + backend::EventData(id, number) + "\n\n"));
      }
      return link.Write("0\r\n\r\n");
    };
  }
  all.data().Put(
      "config", "main",
      Configuration(
          1, {Route("lots", "batch", "carver-model", 15000, 400, 3, false)},
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

  if (Trouble()) {
    spoils = 1;
  }
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
  int wrong = 0;
  std::string example;
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
        const std::string item(result.at("id").as_string());
        const std::string text(result.at("text").as_string());
        const bool whole =
            result.at("state") != "completed" || text == WholeText(item);
        record::Line("client reads item " + item + ": " +
                     json::serialize(result.at("state")) + ", " +
                     (whole ? "whole" : "NOT WHOLE: " + text.substr(0, 400)));
        if (!whole) {
          ++wrong;
          example = item;
        }
      }
    }
  }
  if (wrong > 0) {
    Finish(all, kBroken,
           "ORDER: item " + example + " is listed as completed, and event " +
               std::to_string(kSpoiledEvent) + " is missing in its text");
  }
  if (listed < kJobs * kItems / 2) {
    Finish(all, kCouldNotRun, "too few items were listed");
  }
  Finish(all, kHeld, std::to_string(listed) + " items were listed, all whole");
}
