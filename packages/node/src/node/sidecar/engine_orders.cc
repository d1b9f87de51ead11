#include "src/node/sidecar/engine_orders.h"

#include <algorithm>
#include <boost/json.hpp>
#include <random>
#include <utility>

#include "src/node/sidecar/order_records.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr part_log kLog("orders");
constexpr std::size_t kNonceBytes = 8;
constexpr int kStatusOk = 200;
constexpr int kStatusOldFence = 409;
constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr std::string_view kSlotsKey = "weights/slots";
// Conditional updates of one object that lost against another sidecar.
constexpr int kSlotTries = 5;

/// Sidecars that wait for the same thing must not ask at the same time.
std::chrono::milliseconds Jitter(std::chrono::milliseconds delay) {
  static thread_local std::minstd_rand random{std::random_device()()};
  std::uniform_int_distribution<std::int64_t> pick(delay.count() / 2,
                                                   delay.count());
  return std::chrono::milliseconds(pick(random));
}

}  // namespace

std::vector<required_load> RequiredLoads(const model_config& model) {
  std::vector<required_load> wanted;
  if (model.versions.empty()) {
    return wanted;
  }
  const std::string& version = model.versions.back();
  wanted.push_back({"load_model", model.name, version});
  for (const std::string& adapter : model.adapters) {
    wanted.push_back({"load_adapter", adapter, version});
  }
  return wanted;
}

engine_orders::engine_orders(engine_order_parts parts,
                             engine_order_options options)
    : parts_(std::move(parts)),
      options_(options),
      // A restarted process is another holder.
      holder_(parts_.backend_id + "/" + RandomHex(kNonceBytes)),
      guard_(holder_, options_.lease_duration, options_.lease_margin) {}

asio::awaitable<void> engine_orders::Run() {
  std::chrono::milliseconds retry = options_.initial_retry_delay;
  while (true) {
    const bool fine = co_await Step();
    std::chrono::milliseconds delay = options_.poll_interval;
    if (fine) {
      retry = options_.initial_retry_delay;
    } else {
      delay = Jitter(retry);
      retry = std::min(retry * 2, options_.max_retry_delay);
    }
    co_await SleepFor(delay);
  }
}

std::optional<required_load> engine_orders::NextLoad() {
  const std::uint64_t run = parts_.engine_run_number();
  if (run == 0) {
    return std::nullopt;
  }
  if (run != loaded_run_) {
    loaded_.clear();
    loaded_run_ = run;
  }
  for (required_load& load : parts_.required_loads()) {
    if (std::find(loaded_.begin(), loaded_.end(), load) == loaded_.end()) {
      return std::move(load);
    }
  }
  return std::nullopt;
}

asio::awaitable<bool> engine_orders::Step() {
  if (!NextLoad()) {
    co_return true;
  }
  const bool held = co_await HoldLease();
  if (!held) {
    co_return false;
  }
  result<void> slot = co_await TakeSlot();
  if (!slot) {
    Count("no_slot");
    kLog.Debug("A load waits for a slot.", {{"error", slot.error().message()}});
    co_return false;
  }
  // The wait for the slot may have changed what is due.
  std::optional<required_load> load = NextLoad();
  bool sent = true;
  if (load) {
    result<void> ended = co_await Send(std::move(*load));
    sent = ended.has_value();
  }
  co_await ReleaseSlot();
  co_return sent;
}

bool engine_orders::MaySend() const {
  return guard_.MaySend(parts_.time->Now(), options_.order_timeout);
}

asio::awaitable<bool> engine_orders::ReadLease() {
  auto read = co_await parts_.store->Get("engine/" + parts_.backend_id);
  if (!read) {
    co_return false;
  }
  std::optional<order_lease> record;
  if (*read) {
    result<order_lease> parsed = internal::ParseOrderLease((*read)->value);
    if (!parsed) {
      kLog.Error("The engine lease is damaged.",
                 {{"error", parsed.error().message()}});
      co_return false;
    }
    record = std::move(*parsed);
  }
  lease_ = std::move(*read);
  guard_.Observe(record, parts_.time->Now());
  co_return true;
}

asio::awaitable<bool> engine_orders::HoldLease() {
  if (MaySend()) {
    co_return true;
  }
  const bool known = co_await ReadLease();
  if (!known) {
    co_return false;
  }
  const std::optional<order_lease> next = guard_.NextRecord(parts_.time->Now());
  if (!next) {
    co_return false;
  }
  std::string record = internal::ToJson(*next);
  const write_condition condition = IfUnchanged(lease_);
  const time_point sent = parts_.time->Now();
  result<std::uint64_t> written = co_await parts_.store->Put(
      "engine/" + parts_.backend_id, std::move(record), condition);
  if (!written) {
    co_return false;
  }
  guard_.RecordWritten(*next, sent);
  if (next->renewal == 0) {
    kLog.Info("The engine lease was taken.",
              {{"backend", parts_.backend_id}, {"fence", next->fencing_token}});
  }
  co_return MaySend();
}

asio::awaitable<result<void>> engine_orders::TakeSlot() {
  for (int tries = 0; tries < kSlotTries; ++tries) {
    auto read = co_await parts_.store->Get(std::string(kSlotsKey));
    if (!read) {
      co_return Fail(read.error());
    }
    load_slots current;
    if (*read) {
      result<load_slots> parsed = internal::ParseLoadSlots((*read)->value);
      if (!parsed) {
        co_return Fail(parsed.error());
      }
      current = std::move(*parsed);
    }
    // The slot outlives the order, so that no load runs without one.
    auto next = current.Acquire(
        holder_, options_.max_concurrent_loads, parts_.time->WallNow(),
        options_.lease_duration + options_.lease_margin);
    if (!next) {
      co_return Fail(next.error());
    }
    std::string record = internal::ToJson(*next);
    const write_condition condition = IfUnchanged(*read);
    result<std::uint64_t> written = co_await parts_.store->Put(
        std::string(kSlotsKey), std::move(record), condition);
    if (written) {
      co_return result<void>();
    }
    if (written.error().kind() != error_kind::conflict) {
      co_return Fail(written.error());
    }
  }
  co_return Fail(error_kind::overloaded, "other sidecars take load slots");
}

asio::awaitable<void> engine_orders::ReleaseSlot() {
  // A slot that cannot be released expires.
  for (int tries = 0; tries < kSlotTries; ++tries) {
    auto read = co_await parts_.store->Get(std::string(kSlotsKey));
    if (!read || !*read) {
      co_return;
    }
    result<load_slots> current = internal::ParseLoadSlots((*read)->value);
    if (!current) {
      co_return;
    }
    std::string record = internal::ToJson(current->Release(holder_));
    const write_condition condition = IfUnchanged(*read);
    result<std::uint64_t> written = co_await parts_.store->Put(
        std::string(kSlotsKey), std::move(record), condition);
    if (written || written.error().kind() != error_kind::conflict) {
      co_return;
    }
  }
}

asio::awaitable<result<void>> engine_orders::Send(required_load load) {
  const json::object body{{"order", load.order},
                          {"name", load.name},
                          {"version", load.version},
                          {"fence", guard_.fencing_token()}};
  http_request request;
  request.method = "POST";
  request.target = "/orders";
  request.headers.Set("Content-Type", "application/json");
  request.body = json::serialize(body);
  // Asked just before the bytes leave: the process may have been paused since
  // the lease was looked at.
  const std::function<bool()> may_send = [this] { return MaySend(); };
  call_options options;
  options.connect_timeout = kConnectTimeout;
  options.head_timeout = options_.order_timeout;
  options.idle_timeout = options_.order_timeout;
  options.may_send = &may_send;
  result<http_response> answer =
      co_await parts_.http->Fetch(parts_.engine, std::move(request), options);
  if (!answer) {
    Count(answer.error().ran() == outcome::not_run ? "not_sent" : "failed");
    kLog.Warning("An order to the engine failed.",
                 {{"order", load.order},
                  {"name", load.name},
                  {"error", answer.error().message()}});
    co_return Fail(answer.error());
  }
  if (answer->status != kStatusOk) {
    const bool old_fence = answer->status == kStatusOldFence;
    Count(old_fence ? "old_fence" : "refused");
    kLog.Warning("The engine refused an order.",
                 {{"order", load.order},
                  {"name", load.name},
                  {"fence", guard_.fencing_token()},
                  {"status", answer->status}});
    if (old_fence) {
      // Another holder has sent an order since; the record names it.
      co_await ReadLease();
    }
    co_return Fail(error_kind::conflict, "the engine refused the order");
  }
  Count("done");
  kLog.Info("The engine took an order.", {{"order", load.order},
                                          {"name", load.name},
                                          {"version", load.version},
                                          {"fence", guard_.fencing_token()}});
  if (load.order == "load_model") {
    loaded_.clear();
  }
  loaded_.push_back(std::move(load));
  co_return result<void>();
}

void engine_orders::Count(const std::string& outcome) {
  parts_.metrics
      ->Counter("cardamomyard_engine_orders_total", {{"result", outcome}})
      .Add();
}

}  // namespace cardamomyard
