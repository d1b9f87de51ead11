#ifndef CARDAMOMYARD_STORE_STORE_CLIENT_H_
#define CARDAMOMYARD_STORE_STORE_CLIENT_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/net.h"
#include "cardamomyard/telemetry.h"

namespace cardamomyard {

/// \brief A value with its version in the object API.
struct stored_object {
  std::string value;
  std::uint64_t version = 0;
  friend bool operator==(const stored_object&, const stored_object&) = default;
};

/// Write without a condition.
struct write_always {};
/// Write only when the object does not exist.
struct write_if_absent {};
/// Write only when the object still has this version.
struct write_if_version {
  std::uint64_t version = 0;
};
using write_condition =
    std::variant<write_always, write_if_absent, write_if_version>;

/// \returns the condition that the object is still as it was read.
write_condition IfUnchanged(const std::optional<stored_object>& read);

/// \brief One page of a listing.
struct object_listing {
  struct entry {
    std::string key;
    std::uint64_t version = 0;
  };
  std::vector<entry> entries;
  bool more = false;
};

/// \brief Settings of a store_client.
struct store_options {
  host_address address;
  std::chrono::milliseconds timeout{2000};
  /// Tries of a call that is known not to have taken effect or is idempotent.
  int max_tries = 3;
};

/// \brief Client of the platform's object API. Safe from any thread.
///
/// Errors: `store_unavailable` with outcome `not_run` when a call surely had no
/// effect, and `may_have_run` when its answer was lost; `conflict` when a
/// condition failed; `too_large` for a value above the platform's limit, which
/// is never sent.
class store_client {
 public:
  /// The platform's limit for one value.
  static constexpr std::size_t kMaxValueBytes = 1'000'000;

  static std::unique_ptr<store_client> Create(store_options options,
                                              http_client& http,
                                              const clock& time,
                                              metrics_registry& metrics);

  /// \returns the object, or nothing when it does not exist.
  boost::asio::awaitable<result<std::optional<stored_object>>> Get(
      std::string key);

  /// \brief Writes a value and resolves lost answers by reading back.
  ///
  /// The value must differ from any value that another writer may write, so
  /// conditional records carry a nonce.
  /// \returns the new version.
  boost::asio::awaitable<result<std::uint64_t>> Put(std::string key,
                                                    std::string value,
                                                    write_condition condition);

  /// \brief Creates an immutable object; success when the same value exists.
  boost::asio::awaitable<result<void>> CreateImmutable(std::string key,
                                                       std::string value);

  /// Removes an object; success when it does not exist.
  boost::asio::awaitable<result<void>> Remove(std::string key);

  /// \returns a page of the keys of a prefix, without entries that cannot be
  /// read.
  boost::asio::awaitable<result<object_listing>> List(std::string prefix,
                                                      std::string start_after,
                                                      std::size_t limit);
  /// Lists every key of a prefix, page by page. Fails with `store_unavailable`
  /// when a page names no further key and is not the last one.
  boost::asio::awaitable<result<std::vector<object_listing::entry>>> ListAll(
      std::string prefix);

  /// \brief Waits until the object has a version after \p after.
  /// \returns nothing when \p wait passed without a change.
  boost::asio::awaitable<result<std::optional<stored_object>>>
  Watch(std::string key, std::uint64_t after, std::chrono::milliseconds wait);

  /// \returns when a call was last sent that the store answered; nothing when
  /// none was.
  std::optional<time_point> last_contact() const;

 private:
  store_client(store_options options,
               http_client& http,
               const clock& time,
               metrics_registry& metrics);

  boost::asio::awaitable<result<http_response>> Call(
      http_request request,
      std::chrono::milliseconds timeout);
  boost::asio::awaitable<result<http_response>> CallIdempotent(
      http_request request);
  boost::asio::awaitable<result<std::uint64_t>> PutOnce(
      const std::string& key,
      const std::string& value,
      const write_condition& condition);

  store_options options_;
  http_client* http_;
  const clock* clock_;
  metrics_registry* metrics_;
  std::atomic<duration::rep> last_contact_{0};
  part_log log_{"store"};
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_STORE_STORE_CLIENT_H_
