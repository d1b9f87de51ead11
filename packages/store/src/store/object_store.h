#ifndef CARDAMOMYARD_STORE_OBJECT_STORE_H_
#define CARDAMOMYARD_STORE_OBJECT_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"

namespace cardamomyard {

/// \brief A value of one kind in the platform's store.
struct store_record {
  std::string name;
  std::string value;
  std::uint64_t revision = 0;
  friend bool operator==(const store_record&, const store_record&) = default;
};

/// \brief All records of a kind at one revision of the store.
struct store_snapshot {
  std::vector<store_record> records;
  std::uint64_t revision = 0;
};

struct store_change {
  store_record record;
  bool removed = false;
};

/// \brief What happened after the revision that a watch began at.
struct store_changes {
  std::vector<store_change> changes;
  std::uint64_t revision = 0;
  /// The store no longer knows what happened: list the kind again.
  bool history_lost = false;
};

enum class read_freshness { linearizable, may_be_stale };

struct watch_options {
  /// How long the store may hold the watch open without a change.
  std::chrono::milliseconds wait{0};
  /// With `may_be_stale` a change may be reported seconds late.
  read_freshness freshness = read_freshness::linearizable;
  /// Lets another coroutine of the same thread end the watch early, with
  /// `store_unavailable`. Null when nobody does.
  std::shared_ptr<call_canceller> canceller;
};

/// \brief The platform's store as the system uses it: records by kind and name,
/// conditional writes and watches. Safe from any thread.
///
/// Errors: `store_unavailable` with outcome `not_run` when the call surely had
/// no effect and `may_have_run` when its answer was lost; `conflict` when a
/// condition failed; `not_found`; `too_large` or `invalid_request` when the
/// store will never take this value, so that the same write must not be
/// repeated.
class object_store {
 public:
  virtual ~object_store() = default;

  virtual boost::asio::awaitable<result<std::optional<store_record>>> Get(
      std::string kind,
      std::string name) = 0;
  virtual boost::asio::awaitable<result<store_snapshot>> List(
      std::string kind,
      read_freshness freshness) = 0;
  /// Waits until a record of the kind changes after \p revision.
  /// \returns `too_large` when the changes don't fit an answer: list the kind
  /// again.
  virtual boost::asio::awaitable<result<store_changes>>
  Watch(std::string kind, std::uint64_t revision, watch_options options) = 0;
  /// \returns `conflict` when the record exists.
  virtual boost::asio::awaitable<result<store_record>>
  Create(std::string kind, std::string name, std::string value) = 0;
  /// \returns `conflict` when the record has another revision.
  virtual boost::asio::awaitable<result<store_record>> Replace(
      std::string kind,
      std::string name,
      std::string value,
      std::uint64_t revision) = 0;
  /// Sets the part of a record that reports progress to its writer.
  virtual boost::asio::awaitable<result<void>>
  SetStatus(std::string kind, std::string name, std::string status) = 0;
  /// Success also when the record does not exist.
  virtual boost::asio::awaitable<result<void>> Remove(std::string kind,
                                                      std::string name) = 0;
  /// \returns the size that a value may have in bytes, as encoded.
  virtual std::size_t max_value_bytes() const = 0;
  /// \returns the size of \p value in bytes, as encoded. The sizes of the parts
  /// of a value add up to at least its size.
  virtual std::size_t EncodedSize(const std::string& value) const = 0;
};

/// \brief Creates a record and tries again until the store says whether it
/// exists, since an answer may be lost after the record was created.
/// \returns the record, also when it existed already.
boost::asio::awaitable<result<void>> CreateSurely(object_store& store,
                                                  const clock& time,
                                                  std::string kind,
                                                  std::string name,
                                                  std::string value,
                                                  time_point deadline);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_STORE_OBJECT_STORE_H_
