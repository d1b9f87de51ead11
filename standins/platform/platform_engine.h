#ifndef CARDAMOMYARD_STANDINS_PLATFORM_PLATFORM_ENGINE_H_
#define CARDAMOMYARD_STANDINS_PLATFORM_PLATFORM_ENGINE_H_

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "common/service_host.h"

namespace cardamomyard::standins {

/// \brief A backend server of the users' platform: answers each request with a
/// stream of numbered events, resumes, and fails on demand.
class platform_engine final : public service {
 public:
  static constexpr int kEvents = 12;
  static constexpr std::chrono::milliseconds kEventTime{10};
  /// A request whose body begins so can never be done.
  static constexpr const char* kImpossible = "impossible";

  platform_engine(std::string id, int slots);

  boost::asio::awaitable<void> Handle(http_exchange& exchange) override;

  /// The next \p count streams break off in the middle of an event.
  void CutNext(int count) { cuts_ = count; }
  /// The streams that run now break off at their next event.
  void CutRunning() { ++cut_rounds_; }
  /// The next \p count requests are refused as if the server were full.
  void RefuseNext(int count) { refusals_ = count; }

  /// The next \p count streams break off before their first event.
  void DropNext(int count) { drops_ = count; }

  /// The next \p count streams that reach the event \p number send \p bytes in
  /// its place.
  void SpoilNext(int count, int number, std::string bytes);

  /// Sets whether events have ids.
  void NumberEvents(bool numbered) { numbered_ = numbered; }

  /// Sends nothing for \p time, then goes on where it was; connections stay
  /// open and requests are taken meanwhile.
  void FallSilent(std::chrono::milliseconds time);

  /// From now on each answer says that the server leaves, or no longer does.
  void AnnounceLeaving(bool leaving) { leaving_ = leaving; }

  /// \returns when the first answer was sent that says that the server leaves.
  std::chrono::steady_clock::time_point announced() const { return announced_; }
  /// From now on each answer says that the server is cold for \p time more.
  void SayCold(std::chrono::milliseconds time) { cold_ = time; }

  /// Streams that begin from now on have \p count events.
  void SetEvents(int count) { events_ = count; }

  /// \returns how often each request was run, by its id.
  std::map<std::string, int> runs();
  /// \returns keys that reached the server; there must be none.
  std::vector<std::string> keys();
  std::vector<std::string> accounts();
  int running() const { return running_; }
  /// \returns when the requests arrived that were meant for this server.
  std::vector<std::chrono::steady_clock::time_point> arrivals();
  /// \returns when the last request arrived that was meant for this server.
  std::chrono::steady_clock::time_point last_request() const {
    return last_request_;
  }

  /// \returns the data of one event.
  static std::string Event(int number);

 private:
  /// \returns the headers of each answer.
  header_list AnswerHeaders(const std::string& request_id);
  /// \returns the bytes of an event.
  std::string EventBytes(int number);
  /// Returns when the server is not silent.
  boost::asio::awaitable<void> WaitWhileSilent() const;

  std::string id_;
  int slots_;
  std::atomic<int> running_{0};
  std::atomic<int> cuts_{0};
  std::atomic<int> cut_rounds_{0};
  std::atomic<int> refusals_{0};
  std::atomic<int> drops_{0};
  std::atomic<int> events_{kEvents};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> numbered_{true};
  std::atomic<std::chrono::steady_clock::time_point> announced_{
      std::chrono::steady_clock::time_point::max()};
  std::atomic<std::chrono::milliseconds> cold_{};
  std::atomic<std::chrono::steady_clock::time_point> last_request_{};
  std::atomic<std::chrono::steady_clock::time_point> silent_until_{};
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::vector<std::string> keys_;
  int spoils_ = 0;
  int spoiled_event_ = 0;
  std::string spoiled_bytes_;
  std::vector<std::string> accounts_;
  std::vector<std::chrono::steady_clock::time_point> arrivals_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_PLATFORM_PLATFORM_ENGINE_H_
