#include "platform/platform_engine.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cardamomyard::standins {
namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxBodyBytes = 1U << 20U;

/// Takes one of a number of faults. \returns whether there was one left.
bool Take(std::atomic<int>& faults) {
  int left = faults.load();
  while (left > 0) {
    if (faults.compare_exchange_weak(left, left - 1)) {
      return true;
    }
  }
  return false;
}

}  // namespace

platform_engine::platform_engine(std::string id, int slots)
    : id_(std::move(id)), slots_(slots) {}

std::string platform_engine::Event(int number) {
  return "token-" + std::to_string(number);
}

std::map<std::string, int> platform_engine::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::vector<std::string> platform_engine::keys() {
  const std::lock_guard lock(mutex_);
  return keys_;
}

std::vector<std::string> platform_engine::accounts() {
  const std::lock_guard lock(mutex_);
  return accounts_;
}

std::vector<std::chrono::steady_clock::time_point> platform_engine::arrivals() {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

void platform_engine::SpoilNext(int count, int number, std::string bytes) {
  const std::lock_guard lock(mutex_);
  spoils_ = count;
  spoiled_event_ = number;
  spoiled_bytes_ = std::move(bytes);
}

std::string platform_engine::EventBytes(int number) {
  const std::lock_guard lock(mutex_);
  if (spoils_ > 0 && number == spoiled_event_) {
    --spoils_;
    return spoiled_bytes_;
  }
  const std::string id =
      numbered_ ? "id: " + std::to_string(number) + "\n" : "";
  return id + "data: " + Event(number) + "\n\n";
}

void platform_engine::FallSilent(std::chrono::milliseconds time) {
  silent_until_ = std::chrono::steady_clock::now() + time;
}

header_list platform_engine::AnswerHeaders(const std::string& request_id) {
  header_list headers;
  headers.Set("Request-Id", request_id);
  if (leaving_) {
    headers.Set("Server-Leaving", "1");
    announced_ = std::min(announced_.load(), std::chrono::steady_clock::now());
  }
  if (const auto cold = cold_.load(); cold.count() > 0) {
    headers.Set("Cold-Ms", std::to_string(cold.count()));
  }
  return headers;
}

asio::awaitable<void> platform_engine::WaitWhileSilent() const {
  while (std::chrono::steady_clock::now() < silent_until_.load()) {
    co_await SleepFor(kEventTime);
  }
}

asio::awaitable<void> platform_engine::Handle(http_exchange& exchange) {
  const http_request request = exchange.request();
  const auto body = co_await exchange.ReadBody(kMaxBodyBytes);
  const std::string request_id = request.headers.Get("Request-Id").value_or("");
  co_await WaitWhileSilent();
  http_response refusal;
  refusal.headers = AnswerHeaders(request_id);
  const auto target = request.headers.Get("Target-Instance");
  if (target && *target != id_) {
    refusal.status = 421;
    co_await exchange.Send(std::move(refusal));
    co_return;
  }
  last_request_ = std::chrono::steady_clock::now();
  {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(last_request_);
  }
  if (running_ >= slots_ || Take(refusals_)) {
    refusal.status = 503;
    refusal.headers.Set("Not-Executed", "1");
    co_await exchange.Send(std::move(refusal));
    co_return;
  }
  {
    const std::lock_guard lock(mutex_);
    ++runs_[request_id];
    if (const auto key = request.headers.Get("Authorization")) {
      keys_.push_back(*key);
    }
    accounts_.push_back(request.headers.Get("Tenant").value_or(""));
  }
  if (body && body->starts_with(kImpossible)) {
    refusal.status = 422;
    co_await exchange.Send(std::move(refusal));
    co_return;
  }
  ++running_;
  const bool cut = Take(cuts_);
  header_list headers = AnswerHeaders(request_id);
  headers.Set("Response-Signature", "signed-by-" + id_);
  headers.Set("Content-Type", "text/event-stream");
  co_await exchange.StartStream(200, std::move(headers));
  if (Take(drops_)) {
    --running_;
    exchange.Abort();
    co_return;
  }
  const int events = events_;
  const int cut_rounds = cut_rounds_;
  const int first =
      std::atoi(request.headers.Get("Last-Event-Id").value_or("0").c_str()) + 1;
  for (int number = first; number <= events; ++number) {
    co_await SleepFor(kEventTime);
    co_await WaitWhileSilent();
    const std::string event = EventBytes(number);
    if ((cut && number == events / 2) || cut_rounds != cut_rounds_) {
      co_await exchange.Write(event.substr(0, event.size() / 2));
      --running_;
      exchange.Abort();
      co_return;
    }
    if (!co_await exchange.Write(event)) {
      --running_;
      co_return;
    }
  }
  --running_;
  co_await exchange.Finish();
}

}  // namespace cardamomyard::standins
