#ifndef CARDAMOMYARD_GATEWAY_JOB_FRONTEND_H_
#define CARDAMOMYARD_GATEWAY_JOB_FRONTEND_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/fleet.h"
#include "cardamomyard/jobs.h"
#include "cardamomyard/net.h"
#include "cardamomyard/wire.h"
#include "src/gateway/host_runtime.h"
#include "src/gateway/protocol.h"

namespace cardamomyard {

/// \brief Handles callers' requests about batch jobs: submitting a job, reading
/// its results or items, and cancelling it.
///
/// A job is accepted once its record is in the store. Results are read from the
/// worker that owns the job, or from the store when that worker does not
/// answer; both return only results that are stored.
class job_frontend {
 public:
  /// How long a caller of a batch route waits for a job to be accepted or
  /// cancelled.
  static constexpr std::chrono::milliseconds kWriteTime{2500};
  /// How long reading takes while the store answers, without the wait that the
  /// caller asks for.
  static constexpr std::chrono::milliseconds kReadTime{1500};

  /// The longest wait that a read grants its caller.
  static constexpr std::chrono::milliseconds kMaxReadWait{1000};

  explicit job_frontend(host_runtime& host);

  boost::asio::awaitable<http_response> Submit(const inbound_request& caller,
                                               const service_route& route,
                                               const std::string& account,
                                               std::string body);
  boost::asio::awaitable<http_response> HandleJobCall(
      const inbound_request& caller,
      const job_call& call,
      const std::string& account);
  /// Records the waiting tokens that a worker reports in its digest.
  void OnDigest(const load_digest& digest);

 private:
  boost::asio::awaitable<http_response> ReadJobResults(
      const inbound_request& caller,
      read_job call,
      std::string account);
  boost::asio::awaitable<http_response> ReadItem(const inbound_request& caller,
                                                 read_job_item call,
                                                 std::string account);
  boost::asio::awaitable<http_response> Cancel(const inbound_request& caller,
                                               cancel_job call,
                                               std::string account);
  /// Requests results from the workers. \returns nothing when no worker answers
  /// as the owner of the job.
  boost::asio::awaitable<std::optional<job_page>> QueryWorkers(
      const read_job& call,
      const std::string& account);
  boost::asio::awaitable<result<job_page>> ReadFromStore(
      const read_job& call,
      const std::string& account);
  /// \returns the number of tokens of an account's waiting jobs on a route.
  std::int64_t WaitingTokens(const std::string& account,
                             const std::string& route);
  /// \returns the worker that owns a new job; empty when no worker is live.
  std::string ChooseOwner(const std::string& job) const;
  /// Tells a worker that the record of a job that it owns has changed, so that
  /// it need not wait for the changes from the store.
  void NotifyOwner(const std::string& owner, const std::string& job);
  boost::asio::awaitable<void> SendNotice(host_address worker, std::string job);
  http_response Refuse(const error& cause,
                       const inbound_request& caller,
                       std::string_view job) const;

  /// An accepted job that its worker may not report in its backlog yet.
  struct recent_job {
    std::string account;
    std::string route;
    std::int64_t tokens = 0;
    time_point until;
  };
  /// The backlogs that a worker last reported.
  struct reported_backlog {
    std::vector<batch_backlog> backlogs;
    time_point received_at;
  };

  host_runtime* host_;
  part_log log_{"jobs"};
  std::map<std::string, recent_job> recent_jobs_;
  std::map<std::string, reported_backlog> backlogs_;
  std::map<std::string, std::string> owner_cache_;
  // Inputs of jobs whose items were requested, most recently read first.
  std::list<std::pair<std::string, std::shared_ptr<const job_input>>>
      input_cache_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_GATEWAY_JOB_FRONTEND_H_
