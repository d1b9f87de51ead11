#ifndef CARDAMOMYARD_LIMITS_ACCOUNT_LIMITER_H_
#define CARDAMOMYARD_LIMITS_ACCOUNT_LIMITER_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/membership.h"
#include "src/limits/share_table.h"
#include "src/limits/token_bucket.h"

namespace cardamomyard {

/// \brief The limits of all accounts in one configuration generation.
using limits_snapshot = std::unordered_map<std::string, account_limits>;

/// \brief The request is admitted; its token has been taken.
struct admitted {};

/// \brief This host is short of tokens; the account's other homes may lend
/// them.
struct must_borrow {
  /// To be asked in this order until they have granted enough.
  std::vector<std::string> homes;
  double needed;  ///< Missing for this request.
  /// A smaller loan is useless when no other home can add to it: it would
  /// expire unused.
  double minimum;
  /// To be asked for: what will almost certainly be used before it expires.
  double amount;
  /// Time until the homes together have refilled what is missing now.
  std::chrono::milliseconds retry_after;
};

/// \brief The request is refused.
struct refused {
  error_kind kind;  ///< rate_limited, isolated or not_ready.
  std::chrono::milliseconds retry_after;
};

/// \brief Tokens that one home lends another host; the answer to a borrow
/// message.
struct loan {
  double tokens = 0;
  duration valid_for{0};
  /// If nothing is granted: time until a retry may succeed.
  std::chrono::milliseconds retry_after{0};
};

using admission = std::variant<admitted, must_borrow, refused>;

/// \brief Whether this host found the share table or has just created it.
enum class table_origin { found, created };

struct limiter_settings {
  /// Delay before an increased share is used: the contact window, and one
  /// second for loans.
  duration increase_delay = kContactWindow + std::chrono::seconds(1);
  /// Deduct a loan before answering, and count outstanding loans as part of the
  /// burst. Only tests that show that both are needed switch them off.
  bool deduct_loans = true;
  bool count_loans_in_burst = true;
};

/// \brief Admits the requests of all accounts on one host.
///
/// Thread-safe. Each account has a set of homes, the hosts that hold an equal
/// share of its rate and burst; any other host borrows tokens from them. The
/// tokens at all homes and on loan together never exceed the burst and grow no
/// faster than the rate. Therefore a loan counts against the lender's burst
/// until it has expired, and the share in use is the smallest over all tables
/// and limits that another host may still act on.
class account_limiter {
 public:
  explicit account_limiter(std::string host, limiter_settings settings = {});

  /// \brief Applies a newer table. Shares that it increases take effect once a
  /// majority knows it and the increase delay has passed.
  void SetTable(const share_table& table, table_origin origin, time_point now);
  /// \brief Confirms that a majority of the known processes knows the table of
  /// \p epoch. Outage evidence comes from a majority too, so one contact window
  /// later no process has contact through such evidence and an older table.
  void ConfirmTable(std::uint64_t epoch, time_point now);
  /// \brief Applies newer limits; ignores an older generation.
  void SetAccounts(std::uint64_t generation,
                   std::shared_ptr<const limits_snapshot> accounts,
                   time_point now);
  /// \brief Does the same as ConfirmTable for a configuration generation.
  void ConfirmAccounts(std::uint64_t generation, time_point now);
  /// \brief Sets the end of contact. \sa contact_monitor::ContactUntil
  ///
  /// All buckets restart empty if contact had lapsed before \p now, since other
  /// hosts may have used this host's share in the meantime.
  void SetContact(time_point until, time_point now);

  /// \brief Checks one request and takes its token.
  admission Admit(const std::string& account, time_point now);
  /// \brief Lends at most \p amount from this host's bucket, and nothing rather
  /// than less than \p minimum.
  /// \returns the loan; its tokens are already deducted.
  loan Lend(const std::string& account,
            double amount,
            double minimum,
            time_point now);
  /// \brief Adds borrowed tokens.
  /// \param sent  when the borrow message was sent. The loan's lifetime starts
  /// then, so it expires here before the lender refills its tokens.
  void Credit(const std::string& account,
              const loan& borrowed,
              time_point sent,
              time_point now);

  std::uint64_t epoch() const;

 private:
  // A table or the limits of one account. From `received` it can only lower the
  // share in use; from `effective_from` it replaces the older versions.
  template <class T>
  struct version {
    T value;
    std::uint64_t number;
    time_point received;
    time_point effective_from;
  };
  template <class T>
  using history = std::deque<version<T>>;
  using table_history = history<std::shared_ptr<const share_table>>;

  struct expiring_tokens {
    double tokens;
    time_point expires;
  };
  struct home_set {
    std::uint64_t epoch;
    account_limits limits;
    std::vector<std::string> homes;
    bool includes_self;
  };
  struct account_state {
    history<account_limits> limits;
    std::deque<home_set> homes;
    double tokens = 0;
    time_point updated;
    std::deque<expiring_tokens> lent;
    std::deque<expiring_tokens> credits;  // borrowed from other homes
    // The share in use, until the next version is received or takes full
    // effect.
    account_limits share;
    time_point share_valid_until = time_point::min();
    std::uint64_t share_change_count = 0;
    double request_rate = 0;  // requests/s, moving average
    time_point last_request;
    std::size_t borrow_count = 0;  // selects the home that is asked first
  };
  struct stripe {
    std::mutex mutex;
    std::unordered_map<std::string, account_state> accounts;
  };
  // With about ten threads, 64 stripes make contention for one lock unlikely.
  static constexpr std::size_t kStripes = 64;

  stripe& StripeOf(const std::string& account);
  const home_set& HomesOf(
      account_state& state,
      const std::string& account,
      const version<std::shared_ptr<const share_table>>& table,
      const account_limits& limits) const;
  account_limits ShareAt(account_state& state,
                         const std::string& account,
                         const table_history& tables,
                         time_point time) const;
  void AdvanceTo(account_state& state,
                 const std::string& account,
                 time_point now) const;
  void Refill(account_state& state, time_point to) const;
  bool HasContact(time_point now) const;

  const std::string host_;
  const limiter_settings settings_;
  std::array<stripe, kStripes> stripes_;

  // Replaced as a whole, so that Admit locks only one stripe.
  std::atomic<std::shared_ptr<const table_history>> tables_;
  std::atomic<std::uint64_t> change_count_{1};
  std::atomic<time_point> contact_until_{time_point::min()};
  std::atomic<time_point> contact_since_{time_point::min()};

  // Used by the control thread only.
  bool created_table_ = false;
  std::uint64_t generation_ = 0;
  bool has_accounts_ = false;
  std::shared_ptr<const limits_snapshot> accounts_;
  std::map<std::uint64_t, std::vector<std::string>> unconfirmed_;
};

/// \returns the lifetime of a loan.
///
/// A bucket does not refill tokens that are on loan, so a caller may have to
/// wait as long as a loan lasts for the last token of its rate and burst. That
/// must be shorter than the longest wait for a token.
duration LoanDuration(const account_limits& limits);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_LIMITS_ACCOUNT_LIMITER_H_
