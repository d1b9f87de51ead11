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

/// \brief The request may go on; its token has been taken.
struct admitted {};

/// \brief Tokens are missing here and may be had from other homes.
struct must_borrow {
  std::vector<std::string> homes;  ///< Ask in this order until it suffices.
  double needed;                   ///< Missing for this request.
  /// Less is of no use: no other home could add to it, so it would expire.
  double minimum;
  double amount;  ///< Worth asking for: what will surely be used in time.
  /// When the homes together will have refilled what is missing now.
  std::chrono::milliseconds retry_after;
};

/// \brief The request is refused.
struct refused {
  error_kind kind;  ///< rate_limited, isolated or not_ready.
  std::chrono::milliseconds retry_after;
};

/// \brief The answer to a borrow message.
struct loan {
  double tokens = 0;
  duration valid_for{0};
  /// When nothing is granted: how long until it may be.
  std::chrono::milliseconds retry_after{0};
};

using admission = std::variant<admitted, must_borrow, refused>;

/// \brief Whether this host has just created the share table itself.
enum class table_origin { found, created };

struct limiter_settings {
  /// Delay of an increase: the contact window, and one second for loans.
  duration increase_delay = kContactWindow + std::chrono::seconds(1);
  /// Deduct before the answer, and keep room for loans in flight. Both are
  /// switched off only by tests that show that they are needed.
  bool deduct_loans = true;
  bool count_loans_in_burst = true;
};

/// \brief Admits the requests of all accounts on one host.
///
/// Safe to use from several threads. The sum of what can still be admitted
/// from tokens at hand, at every home and on loan, never exceeds the burst;
/// it grows at no more than the rate. Therefore a loan keeps its room in the
/// lender's burst until it has been used or has expired, and a share in use
/// is the smallest over all tables and limits that another host may still
/// act on.
class account_limiter {
 public:
  explicit account_limiter(std::string host, limiter_settings settings = {});

  /// \brief Takes over a newer table. Its increases wait until a majority
  /// knows it and the increase delay has passed.
  void SetTable(const share_table& table, table_origin origin, time_point now);
  /// \brief States that a majority of the known processes has shown that it
  /// knows the table of \p epoch. Outage evidence comes from a majority too,
  /// so nobody has contact by it and an older table W later.
  void ConfirmTable(std::uint64_t epoch, time_point now);
  /// \brief Takes over newer limits; ignores an older generation.
  void SetAccounts(std::uint64_t generation,
                   std::shared_ptr<const limits_snapshot> accounts,
                   time_point now);
  /// \brief The same as ConfirmTable for a configuration generation.
  void ConfirmAccounts(std::uint64_t generation, time_point now);
  /// \brief Sets the end of contact. \sa contact_monitor::ContactUntil
  ///
  /// All buckets start again empty when contact had lapsed before \p now,
  /// since other hosts may have used this share in between.
  void SetContact(time_point until, time_point now);

  /// \brief Checks one request and takes its token.
  admission Admit(const std::string& account, time_point now);
  /// \brief Lends at most \p amount of the own bucket, but not less than
  /// \p least.
  /// \returns the tokens granted; they are deducted before the return.
  loan Lend(const std::string& account,
            double amount,
            double least,
            time_point now);
  /// \brief Adds borrowed tokens.
  /// \param sent  when the borrow message was sent. The loan expires counted
  /// from then, and so before the lender gives its room away.
  void Credit(const std::string& account,
              const loan& borrowed,
              time_point sent,
              time_point now);

  std::uint64_t epoch() const;

 private:
  template <class T>
  struct version {
    T value;
    std::uint64_t number;
    time_point seen;
    time_point matures;
  };
  template <class T>
  using history = std::deque<version<T>>;
  using table_history = history<std::shared_ptr<const share_table>>;

  struct timed_tokens {
    double tokens;
    time_point expires;
  };
  struct home_set {
    std::uint64_t epoch;
    account_limits limits;
    std::vector<std::string> homes;
    bool own;
  };
  struct slot {
    history<account_limits> limits;
    std::deque<home_set> homes;
    double tokens = 0;
    time_point updated;
    std::deque<timed_tokens> lent;
    std::deque<timed_tokens> credits;
    // The share in use, until the next version is seen or matures.
    account_limits share;
    time_point share_until = time_point::min();
    std::uint64_t share_change = 0;
    double demand = 0;  // requests/s, smoothed
    time_point last_request;
    std::size_t borrowed = 0;  // rotates the home that is asked first
  };
  struct stripe {
    std::mutex mutex;
    std::unordered_map<std::string, slot> slots;
  };
  // 64 stripes keep the chance low that two of some ten threads meet in one.
  static constexpr std::size_t kStripes = 64;

  stripe& StripeOf(const std::string& account);
  const home_set& HomesOf(slot& s,
                          const std::string& account,
                          const version<std::shared_ptr<const share_table>>& t,
                          const account_limits& limits) const;
  account_limits ShareAt(slot& s,
                         const std::string& account,
                         const table_history& tables,
                         time_point at) const;
  void Settle(slot& s, const std::string& account, time_point now) const;
  void Refill(slot& s, time_point to) const;
  bool HasContact(time_point now) const;

  const std::string host_;
  const limiter_settings settings_;
  std::array<stripe, kStripes> stripes_;

  // Replaced as a whole, so that a check takes only the lock of its stripe.
  std::atomic<std::shared_ptr<const table_history>> tables_;
  std::atomic<std::uint64_t> changes_{1};
  std::atomic<time_point> contact_until_{time_point::min()};
  std::atomic<time_point> contact_since_{time_point::min()};

  // Owned by the control thread.
  bool fresh_ = false;
  std::uint64_t generation_ = 0;
  bool has_accounts_ = false;
  std::shared_ptr<const limits_snapshot> accounts_;
  std::map<std::uint64_t, std::vector<std::string>> unconfirmed_;
};

/// \returns how long a loan is good for.
///
/// A full bucket does not refill the room of its loans, so a caller may have
/// to wait as long as a loan lasts for the last token of its rate and burst.
/// That must be shorter than the longest wait for a token.
duration LoanDuration(const account_limits& limits);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_LIMITS_ACCOUNT_LIMITER_H_
