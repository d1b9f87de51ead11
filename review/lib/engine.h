#ifndef REVIEW_LIB_ENGINE_H_
#define REVIEW_LIB_ENGINE_H_

#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "http.h"
#include "record.h"

namespace review {

/// \brief What a stand-in of a model server is and makes.
struct engine_options {
  std::string id;
  std::string service;
  std::string zone;
  std::string ip;
  int slots = 8;
  std::chrono::milliseconds event_time{25};
  /// Number of events of a request, by its id.
  std::function<int(const std::string&)> events = [](const std::string&) {
    return 20;
  };
  /// Text of one event.
  std::function<std::string(int)> text;
};

/// \brief A stand-in of a model server, as PROTOCOL.md describes it: a number
/// of slots and a short queue, streams of numbered events that can be resumed,
/// 503 with Not-Executed when it is full, and 421 for another instance's
/// requests.
class engine {
 public:
  engine(engine_options options, record& log);

  const engine_options& options() const { return options_; }
  endpoint address() const { return server_->address(); }
  /// \returns the entry that the server keeps in the platform's store.
  boost::json::object Entry(const std::string& state = "ready") const;
  /// Ends the server for good; its connections are reset.
  void Crash() { server_->Crash(); }

  /// \returns the requests that run or wait.
  int Busy();
  /// \returns how often the request \p id reached the server and was taken.
  int Runs(const std::string& id);
  /// \returns the requests that ran and when each reached the server.
  std::map<std::string, std::chrono::steady_clock::time_point> Arrivals();
  /// \returns the tenants by the ids of the requests that ran.
  std::map<std::string, std::string> Tenants();
  /// \returns the data of all events of a request, joined as the result of an
  /// item is.
  std::string WholeText(const std::string& id) const;

 private:
  void Handle(const request& call, responder& answer);
  void Run(const request& call, responder& answer);

  engine_options options_;
  record* log_;
  std::mutex mutex_;
  int running_ = 0;
  int waiting_ = 0;
  std::map<std::string, int> runs_;
  std::map<std::string, std::string> tenants_;
  std::map<std::string, std::chrono::steady_clock::time_point> arrivals_;
  std::unique_ptr<listener> server_;
};

}  // namespace review

#endif  // REVIEW_LIB_ENGINE_H_
