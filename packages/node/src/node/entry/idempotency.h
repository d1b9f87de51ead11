#ifndef CARDAMOMYARD_NODE_ENTRY_IDEMPOTENCY_H_
#define CARDAMOMYARD_NODE_ENTRY_IDEMPOTENCY_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "cardamomyard/batch.h"
#include "src/node/entry/forwarder.h"
#include "src/node/process_context.h"

namespace cardamomyard {

/// \brief Runs non-repeatable calls at most once per account and
/// Idempotency-Key (rule 10).
class idempotent_runner {
 public:
  idempotent_runner(process_context& context, forwarder& forward);

  /// Claims the key in the object API, runs the request and stores its answer,
  /// or sends the stored answer with the header `Idempotent-Replay: true`.
  /// \returns the failure when no answer was sent to the caller.
  boost::asio::awaitable<std::optional<error>> Run(http_exchange& exchange,
                                                   forward_request request,
                                                   std::string key);

 private:
  struct claim {
    idempotency_record record;
    std::uint64_t version = 0;
  };
  using record_update =
      std::function<result<idempotency_record>(const idempotency_record&)>;

  boost::asio::awaitable<result<std::optional<claim>>> Claim(
      http_exchange& exchange,
      const forward_request& request,
      std::string object);
  boost::asio::awaitable<result<void>> Update(std::string object,
                                              record_update apply);
  /// Updates the record; retries in the background while the store is down.
  boost::asio::awaitable<void> UpdateOrRetry(std::string object,
                                             record_update apply);
  boost::asio::awaitable<void> RetryUpdate(std::string object,
                                           record_update apply);

  process_context* context_;
  forwarder* forwarder_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_IDEMPOTENCY_H_
