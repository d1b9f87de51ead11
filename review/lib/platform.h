#ifndef REVIEW_LIB_PLATFORM_H_
#define REVIEW_LIB_PLATFORM_H_

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

/// \brief A stand-in of the platform's metadata store, as PROTOCOL.md describes
/// it: objects by kind and name, one revision counter, conditional writes,
/// listings in pages, watches with a history, and stale reads.
class platform {
 public:
  explicit platform(const std::string& ip);

  endpoint address() const { return server_->address(); }
  /// While set, every call is answered with 503 and nothing is done.
  void SetDown(bool down) { down_ = down; }
  /// How old the data of calls with `stale-ok` is.
  void SetStaleness(std::chrono::milliseconds age) { staleness_ = age; }

  /// Writes as the operator or a server does. \returns the new revision.
  std::uint64_t Put(const std::string& kind,
                    const std::string& name,
                    boost::json::value spec);
  void Erase(const std::string& kind, const std::string& name);
  /// Adds \p text as the spec of every listing and event of this object, in
  /// place of its own one, byte for byte.
  void PutRaw(const std::string& kind,
              const std::string& name,
              const std::string& text);
  /// \returns the spec of an object, or null.
  boost::json::value Spec(const std::string& kind, const std::string& name);

 private:
  using time = std::chrono::steady_clock::time_point;
  struct object {
    std::string name;
    std::uint64_t revision = 0;
    boost::json::value spec;
    boost::json::value status;
    std::string raw_spec;
  };
  struct event {
    std::uint64_t revision = 0;
    time at;
    std::string kind;
    object held;
    bool deleted = false;
  };

  void Handle(const request& call, responder& answer);
  response List(const std::string& kind, const std::string& after);
  void Watch(const std::string& kind,
             std::uint64_t after,
             std::chrono::milliseconds wait,
             bool stale,
             responder& answer);
  response Write(const request& call,
                 const std::string& kind,
                 std::string name,
                 bool status);
  std::uint64_t Change(const std::string& kind,
                       const object& held,
                       bool deleted);
  static std::string Encode(const object& held);

  std::mutex mutex_;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::deque<event> history_;
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_ = 0;
  std::atomic<bool> down_{false};
  std::atomic<std::chrono::milliseconds> staleness_{
      std::chrono::milliseconds(0)};
  std::unique_ptr<listener> server_;
};

}  // namespace review

#endif  // REVIEW_LIB_PLATFORM_H_
