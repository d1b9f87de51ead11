#include "src/base/error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamomyard {
namespace {

constexpr std::chrono::milliseconds kDefaultRetryAfter{1000};

constexpr std::array kAnswers{
    error_answer{error_kind::invalid_request, "invalid_request", 400,
                 outcome::not_run, false},
    error_answer{error_kind::invalid_credentials, "invalid_credentials", 401,
                 outcome::not_run, false},
    error_answer{error_kind::key_withdrawn, "key_withdrawn", 401,
                 outcome::not_run, false},
    error_answer{error_kind::forbidden, "forbidden", 403, outcome::not_run,
                 false},
    error_answer{error_kind::not_found, "not_found", 404, outcome::not_run,
                 false},
    error_answer{error_kind::conflict, "conflict", 409, outcome::not_run,
                 false},
    error_answer{error_kind::too_large, "too_large", 413, outcome::not_run,
                 false},
    error_answer{error_kind::rate_limited, "rate_limited", 429,
                 outcome::not_run, true},
    error_answer{error_kind::quarantined, "quarantined", 422, outcome::not_run,
                 false},
    error_answer{error_kind::overloaded, "overloaded", 503, outcome::not_run,
                 true},
    error_answer{error_kind::draining, "draining", 503, outcome::not_run, true},
    error_answer{error_kind::no_backend, "no_backend", 503, outcome::not_run,
                 true},
    error_answer{error_kind::store_unavailable, "store_unavailable", 503,
                 outcome::not_run, true},
    error_answer{error_kind::isolated, "isolated", 503, outcome::not_run, true},
    error_answer{error_kind::not_ready, "not_ready", 503, outcome::not_run,
                 true},
    error_answer{error_kind::cancelled, "cancelled", 409, outcome::may_have_run,
                 false},
    error_answer{error_kind::backend_failed, "backend_failed", 502,
                 outcome::may_have_run, false},
    error_answer{error_kind::timeout, "timeout", 504, outcome::may_have_run,
                 false},
    error_answer{error_kind::unknown_outcome, "unknown_outcome", 409,
                 outcome::may_have_run, false},
    error_answer{error_kind::internal, "internal", 500, outcome::may_have_run,
                 false},
};

constexpr bool TableFollowsEnum() {
  for (std::size_t i = 0; i < kAnswers.size(); ++i) {
    if (kAnswers[i].kind != static_cast<error_kind>(i)) {
      return false;
    }
  }
  return kAnswers.size() == static_cast<std::size_t>(error_kind::internal) + 1;
}
static_assert(TableFollowsEnum(),
              "the answer table must list every error kind in enum order");

constexpr std::array<std::pair<outcome, std::string_view>, 3> kOutcomes{
    {{outcome::not_run, "not_run"},
     {outcome::ran, "ran"},
     {outcome::may_have_run, "may_have_run"}}};

}  // namespace

std::string_view ToString(outcome value) {
  return kOutcomes[static_cast<std::size_t>(value)].second;
}

std::optional<outcome> ParseOutcome(std::string_view name) {
  for (const auto& [value, text] : kOutcomes) {
    if (text == name) {
      return value;
    }
  }
  return std::nullopt;
}

const error_answer& AnswerFor(error_kind kind) {
  return kAnswers[static_cast<std::size_t>(kind)];
}

std::string_view ToString(error_kind kind) {
  return AnswerFor(kind).name;
}

std::optional<error_kind> ParseErrorKind(std::string_view name) {
  const auto* found =
      std::find_if(kAnswers.begin(), kAnswers.end(),
                   [name](const error_answer& a) { return a.name == name; });
  if (found == kAnswers.end()) {
    return std::nullopt;
  }
  return found->kind;
}

error::error(error_kind kind, std::string message, outcome ran)
    : kind_(kind), message_(std::move(message)), outcome_(ran) {
  if (AnswerFor(kind).waiting_helps) {
    retry_after_ = kDefaultRetryAfter;
  }
}

error error::Make(error_kind kind, std::string message) {
  return error(kind, std::move(message), AnswerFor(kind).default_outcome);
}

error error::WithOutcome(outcome value) const {
  error copy = *this;
  copy.outcome_ = value;
  return copy;
}

error error::WithRetryAfter(std::chrono::milliseconds delay) const {
  error copy = *this;
  copy.retry_after_ = delay;
  return copy;
}

}  // namespace cardamomyard
