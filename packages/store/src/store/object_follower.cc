#include "src/store/object_follower.h"

#include <utility>

#include "cardamomyard/net.h"

namespace cardamomyard {
namespace {

// Each expiry of a waiting watch costs a call and shows that the store lives.
constexpr std::chrono::milliseconds kUsualWait{8000};
// Small beside the two seconds in which a change must be in force.
constexpr std::chrono::milliseconds kUsualPause{120};
constexpr std::chrono::milliseconds kFirstRetry{60};
// A host is current again this long, and one call, after an outage.
constexpr std::chrono::milliseconds kMostRetry{700};

}  // namespace

object_follower::object_follower(object_store& store,
                                 const clock& time,
                                 std::string kind,
                                 follower_events events)
    : store_(&store),
      clock_(&time),
      kind_(std::move(kind)),
      events_(std::move(events)),
      wait_(kUsualWait),
      pause_(kUsualPause) {}

void object_follower::SetWatch(std::chrono::milliseconds wait,
                               read_freshness freshness) {
  wait_ = wait;
  freshness_ = freshness;
  const bool is_too_lax =
      running_watch_ && (running_watch_->wait > wait ||
                         (running_watch_->freshness != freshness &&
                          freshness == read_freshness::linearizable));
  if (is_too_lax) {
    running_watch_->canceller->Cancel();
  }
}

void object_follower::ListAgain() {
  if (!listed_) {
    return;
  }
  log_.Warning("The kind is listed again.",
               {{"kind", kind_}, {"revision", revision_}});
  listed_ = false;
  if (running_watch_) {
    running_watch_->canceller->Cancel();
  }
}

boost::asio::awaitable<void> object_follower::Run() {
  backoff delay(kFirstRetry, kMostRetry,
                Hash64(kind_, static_cast<std::uint64_t>(
                                  clock_->Now().time_since_epoch().count())));
  while (true) {
    const bool answered = listed_ ? co_await WatchOnce() : co_await ListOnce();
    if (answered) {
      delay.Reset();
    } else {
      co_await SleepFor(delay.Next());
    }
  }
}

boost::asio::awaitable<bool> object_follower::ListOnce() {
  const result<store_snapshot> listed =
      co_await store_->List(kind_, read_freshness::linearizable);
  if (!listed) {
    Failed("list", listed.error());
    co_return false;
  }
  Answered();
  revision_ = listed->revision;
  listed_ = true;
  events_.on_snapshot(*listed);
  co_return true;
}

boost::asio::awaitable<bool> object_follower::WatchOnce() {
  const auto canceller = std::make_shared<call_canceller>();
  running_watch_ = {wait_, freshness_, canceller};
  const result<store_changes> seen =
      co_await store_->Watch(kind_, revision_, *running_watch_);
  running_watch_.reset();
  if (!seen && canceller->cancelled()) {
    co_return true;
  }
  if (!seen) {
    Failed("watch", seen.error());
    listed_ = seen.error().kind() != error_kind::too_large;
    co_return false;
  }
  Answered();
  if (seen->history_lost) {
    log_.Warning("The store dropped its history; listing again.",
                 {{"kind", kind_}, {"revision", revision_}});
    listed_ = false;
    co_return true;
  }
  events_.on_changes(*seen);
  revision_ = std::max(revision_, seen->revision);
  if (!seen->changes.empty()) {
    co_await SleepFor(pause_.load());
  }
  co_return true;
}

void object_follower::Answered() {
  last_answer_ = clock_->Now();
  if (in_contact_) {
    return;
  }
  in_contact_ = true;
  log_.Info(ever_failed_ ? "The store answers again." : "The store answers.",
            {{"kind", kind_}, {"revision", revision_}});
  events_.on_contact(true);
}

void object_follower::Failed(std::string_view step, const error& cause) {
  if (in_contact_ || !ever_failed_) {
    log_.Warning("The store does not answer.", {{"kind", kind_},
                                                {"call", step},
                                                {"reason", cause.message()},
                                                {"revision", revision_}});
    events_.on_contact(false);
  }
  ever_failed_ = true;
  in_contact_ = false;
}

}  // namespace cardamomyard
