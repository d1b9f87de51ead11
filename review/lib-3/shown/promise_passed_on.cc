// A server runs a request that isn't idempotent and fails it with 503 or 429,
// without Not-Executed. Checked: a client that is answered 429 or 503 (408,
// 421) was not run.
#include "../rig.h"

using namespace rig;

int main(int, char** arguments) {
  record::Open(arguments[1]);
  deployment all;
  std::vector<std::unique_ptr<backend>> servers;
  std::atomic<bool> grey{false};
  std::atomic<int> turn{0};
  for (int i = 0; i < 3; ++i) {
    servers.push_back(std::make_unique<backend>(
        all.NextIp(), "i-" + NewId().substr(0, 10), 6, backend::plan{}));
    servers.back()->Register(all.data(), "stall-app");
    servers.back()->answer_instead =
        [&, i](connection& link, const message& request,
               backend& self) -> std::optional<bool> {
      Sleep(15ms);
      // The first server fails four of ten requests; its liveness check is
      // good. See srv_grey: share .33 of three servers, x .4.
      if (grey && i == 0 && ++turn % 5 < 2) {
        const int status = turn % 5 == 0 ? 503 : 429;
        record::Line("server " + self.id() + " fails " +
                     Header(request.fields, "Request-Id") + " with " +
                     std::to_string(status) + ", after it has run it");
        return link.Write(Answer(status, self.Fields(request), "failed"));
      }
      return link.Write(Answer(200, self.Fields(request), "done"));
    };
  }
  all.data().Put("config", "main",
                 Configuration(1,
                               {Route("order", "non_idempotent", "stall-app",
                                      3000, 300, 2, false)},
                               {json::object{{"name", "stall-app"}}}));
  machine& gateway = all.Add("gateway", "edge-1");
  machine& worker = all.Add("worker", "storage-1");
  all.Start(gateway);
  all.Start(worker);
  if (!WaitUntil([&] { return all.Ready(gateway); }, 10s)) {
    Finish(all, kCouldNotRun, "the gateway is not ready");
  }
  Sleep(3000ms);
  grey = Trouble();
  int refused = 0;
  int refused_and_run = 0;
  int done = 0;
  for (int i = 0; i < 150; ++i) {
    const std::string id = NewId();
    headers fields = ClientHeaders(id);
    fields.emplace_back("Deadline-Ms", "3000");
    const message answer = Call(gateway.ip, gateway.front, "POST",
                                "/order/2f/" + id, fields, "two drums", 4s);
    int runs = 0;
    for (const auto& server : servers) {
      runs += server->runs()[id];
    }
    record::Line("client sends order " + id + ": " +
                 std::to_string(answer.status) + ", run " +
                 std::to_string(runs) + " times");
    const bool promises = answer.status == 429 || answer.status == 503 ||
                          answer.status == 408 || answer.status == 421;
    done += answer.status == 200 ? 1 : 0;
    refused += promises ? 1 : 0;
    refused_and_run += promises && runs > 0 ? 1 : 0;
  }
  if (done < 50) {
    Finish(all, kCouldNotRun, "too few requests were served");
  }
  if (refused_and_run > 0) {
    Finish(all, kBroken,
           "REFUSED: " + std::to_string(refused_and_run) + " of " +
               std::to_string(refused) +
               " requests that were answered 429 or 503 had run");
  }
  Finish(all, kHeld,
         std::to_string(done) + " requests were served, " +
             std::to_string(refused) + " refused truly");
}
