#ifndef CARDAMOMYARD_NODE_ENTRY_BATCHES_API_H_
#define CARDAMOMYARD_NODE_ENTRY_BATCHES_API_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <string>

#include "cardamomyard/batch.h"
#include "src/node/account_entry.h"
#include "src/node/cancelled_jobs.h"
#include "src/node/config_follower.h"
#include "src/node/entry/caller.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief Serves requests below /v1/batches.
class batches_api {
 public:
  batches_api(process_context& context,
              config_follower& config,
              cancelled_jobs& cancelled);

  boost::asio::awaitable<void> Handle(http_exchange& exchange,
                                      caller_request request);

  /// \brief Cancels a job of \p account.
  ///
  /// While the store is unavailable, the cancellation is kept in memory and
  /// retried, and sidecars are notified of it. The result is then
  /// `store_unavailable` with `may_have_run`.
  boost::asio::awaitable<result<job_record>> Cancel(std::string account,
                                                    std::string job_id);

 private:
  boost::asio::awaitable<result<std::string>> Dispatch(http_exchange& exchange,
                                                       caller_request request);
  boost::asio::awaitable<result<std::string>> CreateBatch(
      std::string body,
      caller_request request);
  boost::asio::awaitable<result<std::string>> CheckItems(
      const file_manifest& file,
      const caller_request& request,
      std::string endpoint);
  boost::asio::awaitable<result<std::string>> ListBatches(
      caller_request request);
  boost::asio::awaitable<result<std::string>> GetBatch(std::string account,
                                                       std::string job_id);
  boost::asio::awaitable<result<job_record>> FindJob(std::string account,
                                                     std::string job_id);
  boost::asio::awaitable<result<account_entry>> FindEntry(std::string account,
                                                          std::string job_id);
  boost::asio::awaitable<result<void>> CreateIfAbsent(std::string key,
                                                      std::string value);
  boost::asio::awaitable<void> RetryCancel(std::string account,
                                           std::string job_id);
  boost::asio::awaitable<void> FinishCancel(job_record job);

  process_context* context_;
  config_follower* config_;
  cancelled_jobs* cancelled_;
  std::atomic<int> pending_cancels_{0};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_BATCHES_API_H_
