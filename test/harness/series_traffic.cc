#include "harness/series_traffic.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "cardamomyard/keys.h"

namespace cardamomyard::harness {
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// In this time a version of the configuration reaches all gateways.
constexpr std::chrono::seconds kSpreadTime{3};
constexpr milliseconds kAnswerLimit{12'000};
// What still runs in the last sixth of the grace of 8 s may be cut.
constexpr milliseconds kSafeGrace{8000 * 5 / 6};
constexpr int kMaxJobs = 6;

std::string WholeStream() {
  std::string text;
  for (int i = 1; i <= standins::platform_engine::kEvents; ++i) {
    text += standins::platform_engine::Event(i) + " ";
  }
  return text;
}

/// \returns the data of all events of \p body.
std::string EventData(const std::string& body) {
  static constexpr std::string_view kMark = "data: ";
  std::string text;
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t end = std::min(body.find('\n', at), body.size());
    const std::string_view line(body.data() + at, end - at);
    if (line.starts_with(kMark)) {
      text += std::string(line.substr(kMark.size())) + " ";
    }
    at = end + 1;
  }
  return text;
}

}  // namespace

void idle_limits::Add(milliseconds limit) {
  const std::lock_guard lock(mutex_);
  limits_.emplace_back(steady_clock::now(), limit);
}

milliseconds idle_limits::Least() {
  const std::lock_guard lock(mutex_);
  const auto oldest = steady_clock::now() - kSpreadTime;
  // The one in force at the beginning of that time counts too.
  while (limits_.size() > 1 && limits_[1].first < oldest) {
    limits_.pop_front();
  }
  return std::min_element(
             limits_.begin(), limits_.end(),
             [](const auto& a, const auto& b) { return a.second < b.second; })
      ->second;
}

struct series_traffic::planned_request {
  std::string kind;
  std::string id;
  std::string text;
  std::size_t head_bytes = 0;
  std::set<int> refusals;  ///< Beside those that any request may get.
};

class series_traffic::caller {
 public:
  caller(series_traffic& traffic, int number)
      : traffic_(&traffic),
        name_("c" + std::to_string(number)),
        random_(traffic.seed_ * 1000 + static_cast<std::uint64_t>(number)) {
    for (const called_gateway* gateway : traffic.gateways_) {
      connections_.push_back(
          std::make_unique<kept_connection>(gateway->host.front));
      starts_.push_back(gateway->starts);
      last_use_.push_back(steady_clock::now());
    }
  }

  void Run() {
    while (!traffic_->stopped_) {
      const std::size_t at = Below(static_cast<int>(connections_.size()));
      if (traffic_->gateways_[at]->balanced) {
        Ask(at);
      }
      const int idle = static_cast<int>(traffic_->limits_->Least().count());
      // Mostly at once, so that many requests run beside each change.
      const int most = Below(4) == 0 ? idle * 4 / 5 : 40;
      std::this_thread::sleep_for(milliseconds(Below(most + 1)));
    }
  }

 private:
  int Below(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(random_);
  }

  planned_request Make(const std::string& kind,
                       const std::string& method,
                       const std::string& target,
                       const std::string& body,
                       std::set<int> refusals = {},
                       const std::string& key = platform_fleet::kKey) {
    planned_request made;
    made.kind = kind;
    made.id = name_ + "-" + std::to_string(++count_) + "-" + kind;
    made.refusals = std::move(refusals);
    made.text = method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\n" +
                "Request-Id: " + made.id +
                "\r\nDeadline-Ms: 5000\r\nAuthorization: Token " + key + "\r\n";
    if (method != "GET") {
      made.text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    made.text += "\r\n";
    made.head_bytes = made.text.size();
    made.text += body;
    return made;
  }

  planned_request MakeJob() {
    json::array items;
    for (int i = 0; i < kItems; ++i) {
      items.push_back(json::object{{"id", name_ + "-" + std::to_string(count_) +
                                              "-" + std::to_string(i)},
                                   {"path", "/lots/1/x"},
                                   {"headers", json::object{{"Model", "m"}}},
                                   {"body", Base64Encode("do it")},
                                   {"tokens", 100}});
    }
    // Larger than the least limit for bodies at times.
    planned_request made =
        Make("submit", "POST", "/lots/x",
             json::serialize(json::object{{"items", std::move(items)}}), {413});
    ++jobs_;
    return made;
  }

  planned_request Plan() {
    const std::string body(static_cast<std::size_t>(1 + Below(600)), 'b');
    const int kind = Below(100);
    if (kind < 24) {
      return Make("ask", "POST", "/ask/1", body);
    }
    if (kind < 40) {
      return Make("draft", "POST", "/draft/1", body);
    }
    if (kind < 46) {
      return Make("empty", "POST", "/ask/1", "");
    }
    if (kind < 56) {
      return Make("get", "GET", "/plain/1", "");
    }
    if (kind < 62) {
      return Make("once", "POST", "/once/1", body);
    }
    if (kind < 70) {
      return Make("mix", "POST", "/mix/1", body);
    }
    if (kind < 76) {
      return Make("roam", "POST", "/roam/1", body);
    }
    if (kind < 83) {
      return Make("page", "POST", "/page/1", body, {404});
    }
    if (kind < 88) {
      return Make("key", "POST", "/ask/1", body, {401}, kOtherKey);
    }
    if (kind < 90) {
      return Make("nokey", "POST", "/ask/1", body, {401}, "key-of-nobody");
    }
    if (kind < 92) {
      return Make("noroute", "POST", "/nowhere/1", body, {404});
    }
    if (kind < 94) {
      return Make("big", "POST", "/ask/1", std::string(8192, 'b'), {413});
    }
    if (kind < 96 && jobs_ < kMaxJobs) {
      return MakeJob();
    }
    const std::string job = last_job_.empty() ? "none" : last_job_;
    return Make("read", "GET", "/v1/lots/" + job + "?after=0", "",
                last_job_.empty() ? std::set<int>{404} : std::set<int>{});
  }

  std::vector<std::string> Split(const planned_request& request) {
    std::set<std::size_t> cuts;
    const int way = Below(4);
    if (way == 1 || way == 3) {
      cuts.insert(request.head_bytes);
    }
    if (way >= 2) {
      cuts.insert(static_cast<std::size_t>(
          Below(static_cast<int>(request.head_bytes))));
    }
    if (way == 3) {
      cuts.insert(static_cast<std::size_t>(
          Below(static_cast<int>(request.text.size()))));
    }
    cuts.insert(request.text.size());
    std::vector<std::string> segments;
    std::size_t at = 0;
    for (const std::size_t cut : cuts) {
      if (cut > at) {
        segments.push_back(request.text.substr(at, cut - at));
        at = cut;
      }
    }
    return segments;
  }

  void Ask(std::size_t at) {
    called_gateway& gateway = *traffic_->gateways_[at];
    kept_connection& connection = *connections_[at];
    if (starts_[at] != gateway.starts) {
      starts_[at] = gateway.starts;
      connection.Close();
    }
    if (steady_clock::now() - last_use_[at] >
        traffic_->limits_->Least() * 4 / 5) {
      connection.Close();
    }
    const planned_request request = Plan();
    const auto segments = Split(request);
    const milliseconds gap(Below(10) == 0 ? Below(300) : Below(30));
    kept_call call = connection.Call(segments, gap, kAnswerLimit);
    if (call.how == kept_call::ending::closed_before) {
      // Nothing was sent; the close is judged, and the request goes on.
      if (gateway.stop.load() == called_gateway::time_point::max()) {
        Fail(request, gateway, call, "within the idle limit");
      }
      call = connection.Call(segments, gap, kAnswerLimit);
    }
    last_use_[at] = steady_clock::now();
    Judge(request, gateway, call, segments.size());
  }

  static std::string Describe(const planned_request& request,
                              const called_gateway& gateway,
                              const kept_call& call) {
    return request.id + " at " + gateway.host.name + ": " +
           std::string(ToString(call.how)) + ", status " +
           std::to_string(call.status) + (call.reused ? ", reused" : "") +
           ", " + call.failure + ", " +
           std::to_string(
               std::chrono::duration_cast<milliseconds>(call.ended - call.sent)
                   .count()) +
           " ms after sending";
  }

  void Fail(const planned_request& request,
            const called_gateway& gateway,
            const kept_call& call,
            const std::string& why) {
    const std::lock_guard lock(traffic_->record_->mutex);
    traffic_->record_->failures.push_back(Describe(request, gateway, call) +
                                          ": " + why);
  }

  void Judge(const planned_request& request,
             const called_gateway& gateway,
             const kept_call& call,
             std::size_t segments) {
    series_record& record = *traffic_->record_;
    {
      const std::lock_guard lock(record.mutex);
      ++record.requests;
      record.reused += call.reused ? 1 : 0;
      ++record.endings[request.kind + " " + std::string(ToString(call.how)) +
                       " " + std::to_string(call.status)];
      if (call.how == kept_call::ending::crossed) {
        record.crossed.push_back(Describe(request, gateway, call));
      }
      if (call.how == kept_call::ending::cut) {
        record.cuts.push_back(
            {request.id, gateway.host.name, Describe(request, gateway, call)});
      }
    }
    if (call.how == kept_call::ending::answered) {
      JudgeAnswer(request, gateway, call);
      return;
    }
    if (call.how == kept_call::ending::crossed ||
        call.how == kept_call::ending::cut) {
      return;
    }
    const auto stop = gateway.stop.load();
    if (stop != called_gateway::time_point::max() &&
        call.ended > stop + kSafeGrace) {
      return;
    }
    Fail(request, gateway, call, std::to_string(segments) + " segments");
  }

  void JudgeAnswer(const planned_request& request,
                   const called_gateway& gateway,
                   const kept_call& call) {
    if (call.status == 202) {
      last_job_ = request.id;
      const std::lock_guard lock(traffic_->record_->mutex);
      traffic_->record_->jobs.insert(request.id);
      return;
    }
    if (call.status == 200 && request.kind != "read") {
      if (EventData(call.body) != WholeStream()) {
        Fail(request, gateway, call, "events: " + EventData(call.body));
      }
      if (!call.headers.Get("Response-Signature")) {
        Fail(request, gateway, call, "no signature");
      }
      return;
    }
    const std::set<int> any{429, 502, 503, 504};
    if (call.status != 200 && !any.contains(call.status) &&
        !request.refusals.contains(call.status)) {
      Fail(request, gateway, call, call.body);
    }
  }

  series_traffic* traffic_;
  std::string name_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<kept_connection>> connections_;
  std::vector<int> starts_;
  std::vector<steady_clock::time_point> last_use_;
  int count_ = 0;
  int jobs_ = 0;
  std::string last_job_;
};

series_traffic::series_traffic(std::vector<called_gateway*> gateways,
                               idle_limits& limits,
                               series_record& record,
                               std::uint64_t seed)
    : gateways_(std::move(gateways)),
      limits_(&limits),
      record_(&record),
      seed_(seed) {}

series_traffic::~series_traffic() {
  Stop();
}

void series_traffic::Start(int callers) {
  for (int number = 0; number < callers; ++number) {
    threads_.emplace_back([this, number] { caller(*this, number).Run(); });
  }
}

void series_traffic::Stop() {
  stopped_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

}  // namespace cardamomyard::harness
