// Faults that need no disruption, or none that the pages name: a request inside
// a body with a transfer coding that does not end in chunked, a batch job whose
// id holds a colon, and SIGHUP right after the start.
#include "../rig.h"

using namespace rig;

int main(int, char** arguments) {
  record::Open(arguments[1]);
  deployment all;
  backend server(all.NextIp(), "i-" + NewId().substr(0, 10), 8, {});
  server.Register(all.data(), "carver-model");
  all.data().Put(
      "config", "main",
      Configuration(
          1,
          {Route("notes", "streaming", "carver-model", 2000, 300, 1, false),
           Route("lots", "batch", "carver-model", 15000, 400, 3, false)},
          {json::object{{"name", "carver-model"}}}));
  machine& gateway = all.Add("gateway", "edge-1");
  machine& worker = all.Add("worker", "storage-1");
  all.Start(gateway);
  ::kill(gateway.process, SIGHUP);
  Sleep(200ms);
  const bool ended = deployment::Ended(gateway);
  record::Line(ended ? "SIGHUP at the start ended the gateway"
                     : "SIGHUP at the start did no harm");
  if (ended) {
    all.Start(gateway);
  }
  all.Start(worker);
  if (!WaitUntil([&] { return all.Ready(gateway); }, 10s)) {
    Finish(all, kCouldNotRun, "the gateway is not ready");
  }
  Sleep(1000ms);
  const std::string inner = NewId();
  const std::string body =
      Request("POST", "/notes/2f", ClientHeaders(inner), "");
  headers fields = ClientHeaders(NewId());
  fields.emplace_back("Transfer-Encoding", "gzip");
  const auto link = Connect(gateway.ip, gateway.front);
  link->Write("POST /notes/2f HTTP/1.1\r\n" + Lines(fields) + "\r\n" + body);
  Sleep(1500ms);
  const bool smuggled = server.runs().contains(inner);
  record::Line(smuggled ? "the request inside the body was run"
                        : "the request inside the body was not run");
  const std::string job = "night:" + NewId();
  const int submitted = Submit(gateway, "lots", job, NewIds(1)).status;
  Sleep(1500ms);
  int read = 0;
  ReadJob(gateway, job, 0, read);
  record::Line("job with a colon: submitted " + std::to_string(submitted) +
               ", read " + std::to_string(read));
  const bool lost = submitted == 202 && read == 404;
  Finish(all, ended || smuggled || lost ? kBroken : kHeld,
         std::string(ended ? "Own ends; " : "") +
             (smuggled ? "UNASKED; " : "") + (lost ? "LOST" : ""));
}
