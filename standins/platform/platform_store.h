#ifndef CARDAMOMYARD_STANDINS_PLATFORM_PLATFORM_STORE_H_
#define CARDAMOMYARD_STANDINS_PLATFORM_PLATFORM_STORE_H_

#include <atomic>
#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "common/service_host.h"

namespace cardamomyard::standins {

/// \brief The users' metadata store: objects by kind and name with one revision
/// counter, conditional writes, watches and a history.
class platform_store final : public service {
 public:
  /// What a call meets.
  enum class condition {
    serving,
    refusing,  ///< Answers 503 and does nothing.
    losing,    ///< Writes are done; every second one gets no answer.
    slow,      ///< Calls are done; each answer takes kSlowAnswer more.
    late,      ///< Writes get no answer and are done after kLateWrite.
    endless,   ///< Answers bytes that are no answer, until the caller closes.
  };
  /// How a listing is continued.
  enum class paging {
    sound,
    stuck,     ///< Each page is the first one.
    backward,  ///< Every second page begins one object too early.
    circular,  ///< The first page follows the last one.
  };
  static constexpr std::size_t kUsualPage = 500;
  static constexpr std::chrono::milliseconds kSlowAnswer{300};
  static constexpr std::chrono::milliseconds kLateWrite{700};

  boost::asio::awaitable<void> Handle(http_exchange& exchange) override;

  void SetCondition(condition next) { condition_ = next; }
  /// Drops the history, so that older watches are answered with 410.
  void Compact();
  /// While set, watches end without the events that happened.
  void SetSilentWatches(bool silent) { silent_watches_ = silent; }
  /// Watches that accept stale answers report changes this late.
  void SetStaleness(std::chrono::milliseconds staleness) {
    staleness_ = staleness;
  }
  /// Refuses reads of single objects of \p kind from now on; none if empty.
  void RefuseReads(const std::string& kind);
  /// Answers 400 to writes whose body holds \p text; to none if it is empty.
  /// A body that is no JSON is answered so at all times.
  void RefuseWritesOf(const std::string& text);
  /// \returns how many writes were refused because of their body.
  int refused_writes() const { return refused_writes_; }
  /// Writes as the operator or a server does.
  void Put(const std::string& kind,
           const std::string& name,
           boost::json::value spec);
  /// Writes \p text in place of a spec, byte for byte, as another writer may.
  void PutRaw(const std::string& kind,
              const std::string& name,
              const std::string& text);
  /// Writes an object whose name stands in answers as \p name_text, a JSON
  /// string, as another encoder may write it. A call means the object by
  /// \p name.
  void PutNamed(const std::string& kind,
                const std::string& name,
                const std::string& name_text,
                boost::json::value spec);
  void Erase(const std::string& kind, const std::string& name);
  /// Sets how many objects a page of a listing holds at most.
  void SetPageSize(std::size_t objects) { page_size_ = objects; }
  /// Sets how listings that continue are answered.
  void SetPaging(paging next) { paging_ = next; }
  /// \returns how often each page of listings of \p kind was asked for, by the
  /// name that it begins after, as decoded.
  std::map<std::string, int> listings(const std::string& kind);
  /// \returns how many calls were refused because they cannot be read.
  int refusals() const { return refusals_; }
  /// \returns the spec, or null.
  boost::json::value Spec(const std::string& kind, const std::string& name);
  /// \returns the status, or null.
  boost::json::value Status(const std::string& kind, const std::string& name);
  int calls() const { return calls_; }
  /// \returns writes whose connection was closed and that are still to be done.
  int waiting_writes() const { return waiting_writes_; }

 private:
  struct object {
    std::uint64_t revision = 0;
    boost::json::value spec;
    boost::json::value status;
  };
  struct event {
    std::uint64_t revision = 0;
    std::string kind;
    boost::json::object entry;
    std::chrono::steady_clock::time_point at;
  };

  /// \returns the text of an answer, with the raw texts in their places.
  std::string Serialize(const boost::json::value& answer);
  static boost::json::object ToJson(const std::string& name,
                                    const object& held);
  void Change(const std::string& kind, const std::string& name, bool removed);
  http_response Read(const std::string& kind, const std::string& name);
  /// \returns the page of objects of \p kind that begins after \p after.
  http_response List(const std::string& kind, const std::string& after);
  http_response Write(const http_request& request,
                      const std::string& body,
                      const std::string& kind,
                      std::string name,
                      bool status);
  boost::asio::awaitable<http_response> Watch(const std::string& kind,
                                              std::uint64_t after,
                                              std::chrono::milliseconds wait,
                                              bool stale);

  std::mutex mutex_;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::deque<event> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_ = 0;
  std::atomic<condition> condition_{condition::serving};
  std::atomic<int> calls_{0};
  std::atomic<int> writes_{0};
  std::atomic<int> waiting_writes_{0};
  std::atomic<bool> silent_watches_{false};
  std::atomic<std::chrono::milliseconds> staleness_{};
  std::string refused_kind_;
  std::string refused_text_;
  std::atomic<int> refused_writes_{0};
  std::atomic<std::size_t> page_size_{kUsualPage};
  std::atomic<paging> paging_{paging::sound};
  std::atomic<int> refusals_{0};
  std::map<std::string, std::map<std::string, int>> listings_;
  /// Texts of answers by the text that stands for them.
  std::map<std::string, std::string> raw_texts_;
};

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_PLATFORM_PLATFORM_STORE_H_
