#ifndef CARDAMOMYARD_BASE_ERROR_H_
#define CARDAMOMYARD_BASE_ERROR_H_

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomyard {

/// \brief Tells whether a request reached a backend server.
///
/// `may_have_run` covers everything that was written towards a backend server
/// and not answered.
enum class outcome { not_run, ran, may_have_run };

/// \returns the name used in error bodies, for instance "not_run".
std::string_view ToString(outcome value);
/// \returns the outcome with that name, or nothing.
std::optional<outcome> ParseOutcome(std::string_view name);

/// \brief The closed list of error kinds. \sa AnswerFor
enum class error_kind {
  invalid_request,
  invalid_credentials,
  key_withdrawn,
  forbidden,
  not_found,
  conflict,
  too_large,
  rate_limited,
  quarantined,
  overloaded,
  draining,
  no_backend,
  store_unavailable,
  isolated,
  not_ready,
  cancelled,
  backend_failed,
  timeout,
  unknown_outcome,
  internal,
};

/// \brief How an error kind is answered over HTTP.
struct error_answer {
  error_kind kind;
  std::string_view name;
  int http_status;
  outcome default_outcome;
  bool waiting_helps;  ///< The answer carries Retry-After.

  friend bool operator==(const error_answer&, const error_answer&) = default;
};

/// \returns the row of the answer table for \p kind.
const error_answer& AnswerFor(error_kind kind);
std::string_view ToString(error_kind kind);
/// \returns the kind with that name, or nothing.
std::optional<error_kind> ParseErrorKind(std::string_view name);

/// \brief An error of the closed list with its message and outcome.
class error {
 public:
  /// \brief Makes an error with the default outcome of its kind.
  /// \param kind  the kind, from the closed list.
  /// \param message  one plain sentence; must not contain secrets.
  static error Make(error_kind kind, std::string message);

  /// \returns a copy with another outcome.
  [[nodiscard]] error WithOutcome(outcome value) const;
  /// \returns a copy that asks the caller to wait at least \p delay.
  [[nodiscard]] error WithRetryAfter(std::chrono::milliseconds delay) const;

  error_kind kind() const { return kind_; }
  const std::string& message() const { return message_; }
  outcome ran() const { return outcome_; }
  /// Time to wait before a retry; set only for kinds where waiting helps.
  std::optional<std::chrono::milliseconds> retry_after() const {
    return retry_after_;
  }

  friend bool operator==(const error&, const error&) = default;

 private:
  error(error_kind kind, std::string message, outcome ran);

  error_kind kind_;
  std::string message_;
  outcome outcome_;
  std::optional<std::chrono::milliseconds> retry_after_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BASE_ERROR_H_
