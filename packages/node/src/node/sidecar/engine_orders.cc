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
constexpr int kStatusStaleFence = 409;
constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr std::string_view kLoadSlotsKey = "weights/slots";
// Conditional updates that are tried while other sidecars update the object.
constexpr int kMaxSlotUpdates = 5;

/// Spreads the retries of sidecars that wait for the same resource.
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
      // The nonce makes a restarted process a different holder.
      holder_(parts_.backend_id + "/" + RandomHex(kNonceBytes)),
      guard_(holder_, options_.lease_duration, options_.lease_margin) {}

asio::awaitable<void> engine_orders::Run() {
  std::chrono::milliseconds retry = options_.initial_retry_delay;
  while (true) {
    const bool succeeded = co_await Step();
    std::chrono::milliseconds delay = options_.poll_interval;
    if (succeeded) {
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
  const bool lease_held = co_await EnsureLease();
  if (!lease_held) {
    co_return false;
  }
  result<void> slot = co_await AcquireLoadSlot();
  if (!slot) {
    Count("no_slot");
    kLog.Debug("A load waits for a slot.", {{"error", slot.error().message()}});
    co_return false;
  }
  // A different load may be due after the wait for the slot.
  std::optional<required_load> load = NextLoad();
  bool sent = true;
  if (load) {
    result<void> order_result = co_await SendOrder(std::move(*load));
    sent = order_result.has_value();
  }
  co_await ReleaseLoadSlot();
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
      kLog.Error("The engine lease cannot be parsed.",
                 {{"error", parsed.error().message()}});
      co_return false;
    }
    record = std::move(*parsed);
  }
  stored_lease_ = std::move(*read);
  guard_.Observe(record, parts_.time->Now());
  co_return true;
}

asio::awaitable<bool> engine_orders::EnsureLease() {
  if (MaySend()) {
    co_return true;
  }
  const bool lease_read = co_await ReadLease();
  if (!lease_read) {
    co_return false;
  }
  const std::optional<order_lease> next = guard_.NextRecord(parts_.time->Now());
  if (!next) {
    co_return false;
  }
  std::string record = internal::ToJson(*next);
  const write_condition condition = IfUnchanged(stored_lease_);
  const time_point sent = parts_.time->Now();
  result<std::uint64_t> written = co_await parts_.store->Put(
      "engine/" + parts_.backend_id, std::move(record), condition);
  if (!written) {
    co_return false;
  }
  guard_.RecordWritten(*next, sent);
  if (next->renewal == 0) {
    kLog.Info("The engine lease was acquired.",
              {{"backend", parts_.backend_id}, {"fence", next->fencing_token}});
  }
  co_return MaySend();
}

asio::awaitable<result<void>> engine_orders::AcquireLoadSlot() {
  for (int attempt = 0; attempt < kMaxSlotUpdates; ++attempt) {
    auto read = co_await parts_.store->Get(std::string(kLoadSlotsKey));
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
    // The slot outlives the order, so that no load runs without a slot.
    auto next = current.Acquire(
        holder_, options_.max_concurrent_loads, parts_.time->WallNow(),
        options_.lease_duration + options_.lease_margin);
    if (!next) {
      co_return Fail(next.error());
    }
    std::string record = internal::ToJson(*next);
    const write_condition condition = IfUnchanged(*read);
    result<std::uint64_t> written = co_await parts_.store->Put(
        std::string(kLoadSlotsKey), std::move(record), condition);
    if (written) {
      co_return result<void>();
    }
    if (written.error().kind() != error_kind::conflict) {
      co_return Fail(written.error());
    }
  }
  co_return Fail(error_kind::overloaded,
                 "load slots are contended by other sidecars");
}

asio::awaitable<void> engine_orders::ReleaseLoadSlot() {
  // A slot that cannot be released expires.
  for (int attempt = 0; attempt < kMaxSlotUpdates; ++attempt) {
    auto read = co_await parts_.store->Get(std::string(kLoadSlotsKey));
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
        std::string(kLoadSlotsKey), std::move(record), condition);
    if (written || written.error().kind() != error_kind::conflict) {
      co_return;
    }
  }
}

asio::awaitable<result<void>> engine_orders::SendOrder(required_load load) {
  const json::object body{{"order", load.order},
                          {"name", load.name},
                          {"version", load.version},
                          {"fence", guard_.fencing_token()}};
  http_request request;
  request.method = "POST";
  request.target = "/orders";
  request.headers.Set("Content-Type", "application/json");
  request.body = json::serialize(body);
  // Checked immediately before the request is sent, since the process may have
  // been paused after it checked the lease.
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
    const bool stale_fence = answer->status == kStatusStaleFence;
    Count(stale_fence ? "old_fence" : "refused");
    kLog.Warning("The engine refused an order.",
                 {{"order", load.order},
                  {"name", load.name},
                  {"fence", guard_.fencing_token()},
                  {"status", answer->status}});
    if (stale_fence) {
      // Another holder has sent an order; the lease record names it.
      co_await ReadLease();
    }
    co_return Fail(error_kind::conflict, "the engine refused the order");
  }
  Count("done");
  kLog.Info("The engine accepted an order.",
            {{"order", load.order},
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
