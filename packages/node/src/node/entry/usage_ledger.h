#ifndef CARDAMOMYARD_NODE_ENTRY_USAGE_LEDGER_H_
#define CARDAMOMYARD_NODE_ENTRY_USAGE_LEDGER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomyard/batch.h"
#include "cardamomyard/store.h"

namespace cardamomyard {

/// \brief The account, key and target that one sum of the ledger is for.
struct usage_subject {
  std::string account;  ///< Empty on an open route without a key.
  std::string key_id;
  std::string target;  ///< "model/<name>" or "route/<name>".
  friend auto operator<=>(const usage_subject&, const usage_subject&) = default;
};

/// \brief Number of requests by outcome, and their tokens.
struct usage_sums {
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t ran = 0;  ///< Ran, but the answer was not complete.
  std::uint64_t may_have_run = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;

  usage_sums& operator+=(const usage_sums& other);
  friend bool operator==(const usage_sums&, const usage_sums&) = default;
};

/// The sums in one object of the ledger.
using usage_rows = std::map<usage_subject, usage_sums>;

/// \brief Extracts the token counts from an answer that is relayed.
class usage_meter {
 public:
  /// \param piece  a whole JSON body, or the next piece of an event stream.
  void Observe(const std::string& piece);
  const token_usage& tokens() const { return tokens_; }

 private:
  bool stream_ = false;
  event_reader events_;
  token_usage tokens_;
};

/// \brief Durable usage sums of the online requests of one entry host, for
/// invoices.
///
/// Each object is written by a single incarnation of a host and holds the sums
/// since its start, so a repeated write never counts a request twice.
class usage_ledger {
 public:
  static constexpr std::size_t kParts = 16;
  static constexpr std::chrono::seconds kFlushInterval{30};

  /// \param writer  differs for each start of a process.
  usage_ledger(store_client& store, const clock& time, std::string writer);

  /// \brief Counts one request. Any thread.
  /// \param failure  nothing when the whole answer was sent.
  void Record(const usage_subject& subject,
              const std::optional<error>& failure,
              const token_usage& tokens);

  /// \brief Writes the changed sums. Concurrent calls run one after another.
  /// \returns the first failure; unwritten sums stay for the next call.
  boost::asio::awaitable<result<void>> Flush();

  /// \returns the prefix of the objects that may hold \p account on \p day.
  static std::string Prefix(std::string_view day, std::string_view account);
  static std::string Encode(const usage_rows& rows);
  static result<usage_rows> Decode(std::string_view text);

 private:
  boost::asio::awaitable<result<void>> WriteDirtyParts();

  struct part {
    usage_rows rows;
    bool dirty = false;
    std::uint64_t version = 0;
  };

  store_client* store_;
  const clock* clock_;
  std::string writer_;
  std::mutex mutex_;
  std::atomic<bool> flushing_{false};
  std::map<std::string, part> parts_;  ///< By object key.
};

/// \returns the UTC day of \p at as YYYY-MM-DD.
std::string UtcDay(wall_time at);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_USAGE_LEDGER_H_
