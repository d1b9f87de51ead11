#ifndef CARDAMOMYARD_STORE_OBJECT_FOLLOWER_H_
#define CARDAMOMYARD_STORE_OBJECT_FOLLOWER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cardamomyard/base.h"
#include "cardamomyard/telemetry.h"
#include "src/store/object_store.h"

namespace cardamomyard {

/// \brief What a follower reports. Called on the thread that runs it.
struct follower_events {
  /// The whole kind, at the start and after the history was lost.
  std::function<void(const store_snapshot&)> on_snapshot;
  /// One answer of the watch, also one without changes. It is to be applied
  /// whole, as its revision holds after all of its changes.
  std::function<void(const store_changes&)> on_changes;
  /// The store answers again, or no longer.
  std::function<void(bool in_contact)> on_contact;
};

/// \brief Keeps a copy of one kind by a listing and a watch after it.
class object_follower {
 public:
  object_follower(object_store& store,
                  const clock& time,
                  std::string kind,
                  follower_events events);

  /// Sets how long the store may keep a watch waiting and whether it may report
  /// changes late. A watch that lost its events shows it only at its end, so a
  /// shorter wait notices sooner; both cost the store more. A running watch
  /// that is laxer ends at once. To be called on the thread that runs this.
  void SetWatch(std::chrono::milliseconds wait, read_freshness freshness);

  /// Sets how long the follower waits after events before it watches on, so
  /// that changes in quick succession share a call. Safe from any thread.
  void SetPause(std::chrono::milliseconds pause) { pause_ = pause; }

  /// Ends a running watch and lists the kind again, unless that is being done.
  /// To be called on the thread that runs this.
  void ListAgain();

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run();

  /// \returns when the store last answered a call for this kind.
  std::optional<time_point> last_answer() const { return last_answer_; }
  bool in_contact() const { return in_contact_; }

 private:
  boost::asio::awaitable<bool> ListOnce();
  boost::asio::awaitable<bool> WatchOnce();
  void Answered();
  void Failed(std::string_view step, const error& cause);

  object_store* store_;
  const clock* clock_;
  std::string kind_;
  follower_events events_;
  part_log log_{"store"};
  std::chrono::milliseconds wait_;
  std::atomic<std::chrono::milliseconds> pause_;
  read_freshness freshness_ = read_freshness::linearizable;
  std::optional<watch_options> running_watch_;
  bool listed_ = false;
  std::uint64_t revision_ = 0;
  std::optional<time_point> last_answer_;
  bool in_contact_ = false;
  bool ever_failed_ = false;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_STORE_OBJECT_FOLLOWER_H_
