#ifndef CARDAMOMYARD_STANDINS_MEMORY_MEMORY_STORE_H_
#define CARDAMOMYARD_STANDINS_MEMORY_MEMORY_STORE_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cardamomyard/net.h"
#include "cardamomyard/store.h"

namespace cardamomyard::standins {

/// \brief A store in memory whose answers can be lost, refused or delayed.
class memory_store final : public object_store {
 public:
  enum class fault {
    none,
    refused,      ///< Nothing is done, and the store says so.
    lost_before,  ///< Nothing is done, and the caller does not know.
    lost_after,   ///< The call is done, and the caller does not know.
  };
  using record_key = std::pair<std::string, std::string>;

  /// Asked for each call, with its name ("get", "create", ...) and kind.
  std::function<fault(std::string_view call, const std::string& kind)> faults =
      [](std::string_view, const std::string&) { return fault::none; };
  /// Watches return without events although there are some.
  bool silent_watches = false;
  /// The longest time that a watch without events waits.
  std::chrono::milliseconds max_watch_time{5};
  /// Watches that accept stale answers see no events.
  bool hides_from_stale_watches = false;
  /// Watches from before this revision find the history gone.
  std::uint64_t oldest_revision = 0;

  std::size_t max_value_bytes() const override { return max_bytes; }
  std::size_t max_bytes = 1'000'000;
  /// The size of a JSON string, which most stores send values as.
  std::size_t EncodedSize(const std::string& value) const override {
    return boost::json::serialize(boost::json::string(value)).size();
  }

  std::map<record_key, store_record> records;
  std::uint64_t revision = 1;
  int calls = 0;

  boost::asio::awaitable<result<std::optional<store_record>>> Get(
      std::string kind,
      std::string name) override {
    if (auto failed = Fault("get", kind)) {
      co_return Fail(*failed);
    }
    const auto found = records.find({kind, name});
    if (found == records.end()) {
      co_return std::optional<store_record>();
    }
    co_return std::optional<store_record>(found->second);
  }

  boost::asio::awaitable<result<store_snapshot>> List(
      std::string kind,
      read_freshness /*freshness*/) override {
    if (auto failed = Fault("list", kind)) {
      co_return Fail(*failed);
    }
    store_snapshot snapshot;
    snapshot.revision = revision;
    for (const auto& [key, record] : records) {
      if (key.first == kind) {
        snapshot.records.push_back(record);
      }
    }
    co_return snapshot;
  }

  boost::asio::awaitable<result<store_changes>>
  Watch(std::string kind, std::uint64_t after, watch_options options) override {
    if (auto failed = Fault("watch", kind)) {
      co_return Fail(*failed);
    }
    store_changes changes;
    changes.revision = after;
    if (after < oldest_revision) {
      changes.history_lost = true;
      co_return changes;
    }
    const bool is_hidden = hides_from_stale_watches &&
                           options.freshness == read_freshness::may_be_stale;
    if (!silent_watches && !is_hidden) {
      for (const auto& [key, record] : records) {
        if (key.first == kind && record.revision > after) {
          changes.changes.push_back({record, false});
        }
      }
      changes.revision = revision;
    }
    if (changes.changes.empty()) {
      bool cancelled = false;
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      std::min(options.wait, max_watch_time));
      if (options.canceller) {
        options.canceller->SetConnection([&] {
          cancelled = true;
          timer.cancel();
        });
      }
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
      if (options.canceller) {
        options.canceller->SetConnection(nullptr);
      }
      if (cancelled) {
        co_return Fail(error_kind::store_unavailable, "cancelled");
      }
    }
    co_return changes;
  }

  boost::asio::awaitable<result<store_record>>
  Create(std::string kind, std::string name, std::string value) override {
    co_return Write("create", kind, name, value, std::nullopt);
  }

  boost::asio::awaitable<result<store_record>> Replace(
      std::string kind,
      std::string name,
      std::string value,
      std::uint64_t expected) override {
    co_return Write("replace", kind, name, value, expected);
  }

  boost::asio::awaitable<result<void>> SetStatus(
      std::string kind,
      std::string name,
      std::string /*status*/) override {
    if (auto failed = Fault("status", kind)) {
      co_return Fail(*failed);
    }
    co_return records.contains({kind, name})
        ? result<void>()
        : result<void>(Fail(error_kind::not_found, "no record"));
  }

  boost::asio::awaitable<result<void>> Remove(std::string kind,
                                              std::string name) override {
    if (auto failed = Fault("remove", kind)) {
      co_return Fail(*failed);
    }
    records.erase({kind, name});
    ++revision;
    co_return result<void>();
  }

  /// Writes without a call, as another writer does.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& value) {
    records[{kind, name}] = {name, value, ++revision};
  }

 private:
  std::optional<error> Fault(std::string_view call, const std::string& kind) {
    ++calls;
    pending_ = faults(call, kind);
    switch (pending_) {
      case fault::refused:
        return error::Make(error_kind::store_unavailable, "refused")
            .WithOutcome(outcome::not_run);
      case fault::lost_before:
        return error::Make(error_kind::store_unavailable, "no answer")
            .WithOutcome(outcome::may_have_run);
      default:
        return std::nullopt;
    }
  }

  result<store_record> Write(std::string_view call,
                             const std::string& kind,
                             const std::string& name,
                             const std::string& value,
                             std::optional<std::uint64_t> expected) {
    if (EncodedSize(value) > max_bytes) {
      return Fail(error_kind::too_large, "too large");
    }
    if (auto failed = Fault(call, kind)) {
      return Fail(*failed);
    }
    const fault after = pending_;
    const auto found = records.find({kind, name});
    if (!expected && found != records.end()) {
      return Fail(error_kind::conflict, "exists");
    }
    if (expected && found == records.end()) {
      return Fail(error_kind::not_found, "no record");
    }
    if (expected && found->second.revision != *expected) {
      return Fail(error_kind::conflict, "another revision");
    }
    // A write that changes nothing keeps the revision.
    if (found == records.end() || found->second.value != value) {
      Put(kind, name, value);
    }
    if (after == fault::lost_after) {
      return Fail(error::Make(error_kind::store_unavailable, "no answer")
                      .WithOutcome(outcome::may_have_run));
    }
    return records[{kind, name}];
  }

  fault pending_ = fault::none;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_MEMORY_MEMORY_STORE_H_
