#include "engine.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {
namespace json = boost::json;

namespace {

constexpr int kQueue = 24;
constexpr std::chrono::milliseconds kPoll{2};

}  // namespace

engine::engine(engine_options options, record& log)
    : options_(std::move(options)), log_(&log) {
  server_ = std::make_unique<listener>(
      endpoint{options_.ip, 0},
      [this](const request& call, responder& answer) { Handle(call, answer); });
}

json::object engine::Entry(const std::string& state) const {
  return {
      {"service", options_.service},
      {"address", address().Text()},
      {"zone", options_.zone},
      {"version", "v1"},
      {"slots", options_.slots},
      {"state", state},
      {"cold-remaining-ms", 0},
      {"stage", "both"},
      {"models",
       json::array{json::object{
           {"name", "m"}, {"version", 1}, {"lora-adapters", json::array{}}}}},
      {"sequence", 1},
      {"born", 1764892800000}};
}

int engine::Busy() {
  const std::lock_guard lock(mutex_);
  return running_ + waiting_;
}

int engine::Runs(const std::string& id) {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(id);
  return found == runs_.end() ? 0 : found->second;
}

std::map<std::string, std::chrono::steady_clock::time_point>
engine::Arrivals() {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

std::map<std::string, std::string> engine::Tenants() {
  const std::lock_guard lock(mutex_);
  return tenants_;
}

std::string engine::WholeText(const std::string& id) const {
  std::string text;
  const int events = options_.events(id);
  for (int event = 1; event <= events; ++event) {
    text += (event == 1 ? "" : "\n") + options_.text(event);
  }
  return text;
}

void engine::Handle(const request& call, responder& answer) {
  const std::string id = Field(call.headers, "Request-Id");
  response refusal;
  refusal.headers = {{"Request-Id", id}};
  const std::string target = Field(call.headers, "Target-Instance");
  if (!target.empty() && target != options_.id) {
    refusal.status = 421;
    refusal.headers.emplace_back("Instance-Id", options_.id);
    answer.Send(refusal);
    return;
  }
  refusal.headers.emplace_back("Not-Executed", "1");
  if (id.empty()) {
    refusal.status = 400;
    answer.Send(refusal);
    return;
  }
  bool taken = false;
  {
    const std::lock_guard lock(mutex_);
    taken = waiting_ < kQueue;
    waiting_ += taken ? 1 : 0;
  }
  bool started = false;
  while (taken && !started && !answer.PeerClosed()) {
    {
      const std::lock_guard lock(mutex_);
      started = running_ < options_.slots;
      running_ += started ? 1 : 0;
    }
    if (!started) {
      std::this_thread::sleep_for(kPoll);
    }
  }
  if (taken) {
    const std::lock_guard lock(mutex_);
    --waiting_;
  }
  if (!started) {
    refusal.status = 503;
    answer.Send(refusal);
    return;
  }
  Run(call, answer);
  const std::lock_guard lock(mutex_);
  --running_;
}

void engine::Run(const request& call, responder& answer) {
  const std::string id = Field(call.headers, "Request-Id");
  const std::string tenant = Field(call.headers, "Tenant");
  const std::string from = Field(call.headers, "Last-Event-Id");
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
    tenants_[id] = tenant;
    arrivals_[id] = std::chrono::steady_clock::now();
  }
  log_->Line("run " + id + " " + call.method + " " + call.target + " tenant=" +
             tenant + " server=" + options_.id + " after-event=" + from);
  answer.StartStream(200, {{"Request-Id", id},
                           {"Content-Type", "text/event-stream"},
                           {"Weight-Versions", "1"},
                           {"Response-Signature", "signed." + id}});
  const int events = options_.events(id);
  for (int event = std::atoi(from.c_str()) + 1;
       event <= events && answer.open(); ++event) {
    std::this_thread::sleep_for(options_.event_time);
    if (answer.PeerClosed()) {
      answer.Reset();
      break;
    }
    answer.Write("id: " + std::to_string(event) +
                 "\ndata: " + options_.text(event) + "\n\n");
  }
  const bool whole = answer.open() && answer.Finish();
  log_->Line("end " + id + " server=" + options_.id +
             (whole ? " whole" : " cut"));
}

}  // namespace review
