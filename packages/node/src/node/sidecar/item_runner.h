#ifndef CARDAMOMYARD_NODE_SIDECAR_ITEM_RUNNER_H_
#define CARDAMOMYARD_NODE_SIDECAR_ITEM_RUNNER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "cardamomyard/batch.h"
#include "src/node/process_context.h"
#include "src/node/sidecar/admission_gate.h"
#include "src/node/sidecar/answer_collector.h"
#include "src/node/sidecar/batch_parts.h"

namespace cardamomyard {

/// \brief An item that is run on the backend server. A preempted item keeps it
/// for the next run. Used on the worker's thread only.
struct item_run {
  std::size_t item = 0;
  batch_item content;
  std::string request_id;
  request_fingerprint fingerprint = 0;
  bool repeatable = true;
  bool stream = false;  ///< Run as a stream, which can be resumed.
  bool isolated = false;
  std::chrono::milliseconds timeout{600'000};
  answer_collector progress;
  bool sent = false;  ///< The request was sent, perhaps in an earlier run.
  bool stop_requested = false;  ///< The run must end immediately.
  http_call* call = nullptr;    ///< Not null while an answer is read.
};

/// \brief The outcome of one run.
struct item_outcome {
  bool stopped = false;  ///< Ended by Stop(); the progress is kept.
  run_report report;
  std::string body;
  token_usage tokens;
};

/// \brief Runs single items on the backend server.
class item_runner {
 public:
  /// \param executor  of the worker's thread.
  item_runner(batch_parts& parts, boost::asio::any_io_executor executor);

  /// Runs \p run in \p acquired_slot, which is released at the end.
  boost::asio::awaitable<item_outcome> Run(std::shared_ptr<item_run> run,
                                           slot acquired_slot);
  /// Ends a run immediately and cancels it on the engine. A run that may not be
  /// repeated continues, since its outcome would be lost.
  void Stop(const std::shared_ptr<item_run>& run);

 private:
  boost::asio::awaitable<item_outcome> Call(std::shared_ptr<item_run> run);
  boost::asio::awaitable<std::optional<error>> ReadStream(
      std::shared_ptr<item_run> run,
      http_call& call);

  boost::asio::awaitable<void> CancelOnEngine(std::shared_ptr<item_run> run);

  batch_parts* parts_;
  boost::asio::any_io_executor executor_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_ITEM_RUNNER_H_
