#include "src/node/entry/idempotency.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/internal_api.h"
#include "src/node/stored_record.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

constexpr part_log kLog("idempotency");
constexpr std::size_t kNonceBytes = 8;
constexpr std::size_t kMaxKeyBytes = 256;
// Each resend of the same request may change the record once in between.
constexpr int kMaxClaimTries = 4;
// The answer of a run is stored after it was sent, so a resend can come between
// the two. A second leaves room for a read and a write in a slow store.
constexpr std::chrono::milliseconds kOutcomeWait{1000};
constexpr std::chrono::milliseconds kFirstOutcomeRead{50};
constexpr std::chrono::milliseconds kMostOutcomeRead{200};
constexpr std::chrono::milliseconds kRetryInterval{1000};
constexpr std::chrono::hours kRetryFor{1};

asio::awaitable<void> SendStored(http_exchange& exchange,
                                 stored_answer answer,
                                 std::string request_id) {
  http_response response;
  response.status = answer.status;
  response.headers.Set("Content-Type", std::move(answer.content_type));
  response.headers.Set("Idempotent-Replay", "true");
  response.headers.Set(internal_api::kRequestId, std::move(request_id));
  response.body = std::move(answer.body);
  co_await exchange.Send(std::move(response));
}

}  // namespace

idempotent_runner::idempotent_runner(process_context& context,
                                     forwarder& forward)
    : context_(&context), forwarder_(&forward) {}

asio::awaitable<std::optional<error>> idempotent_runner::Run(
    http_exchange& exchange,
    forward_request request,
    std::string key) {
  if (key.empty() || key.size() > kMaxKeyBytes) {
    co_return error::Make(error_kind::invalid_request,
                          "Idempotency-Key must have 1 to 256 characters");
  }
  const std::string object = IdempotencyStoreKey(request.account, key);
  auto claimed = co_await Claim(exchange, request, object);
  if (!claimed) {
    co_return claimed.error();
  }
  if (!*claimed) {
    co_return std::nullopt;  // The stored answer was sent.
  }
  const std::string nonce = (*claimed)->record.nonce;
  auto capture = std::make_shared<answer_capture>();
  request.capture = capture;
  std::optional<error> failure =
      co_await forwarder_->Forward(exchange, std::move(request));
  change apply;
  if (std::optional<stored_answer> answer = capture->answer()) {
    apply = [nonce,
             answer = std::move(*answer)](const idempotency_record& record) {
      return RecordIdempotentAnswer(record, nonce, answer,
                                    RandomHex(kNonceBytes));
    };
  } else if (failure && failure->ran() == outcome::not_run) {
    apply = [nonce](const idempotency_record& record) {
      return ReleaseIdempotencyKey(record, nonce, RandomHex(kNonceBytes));
    };
  }
  // Otherwise the outcome is unknown and the claim stays as it is.
  if (apply) {
    co_await UpdateSoon(object, std::move(apply));
  }
  co_return failure;
}

asio::awaitable<result<std::optional<idempotent_runner::claim>>>
idempotent_runner::Claim(http_exchange& exchange,
                         const forward_request& request,
                         std::string object) {
  const std::string hash =
      RequestHash(request.method, request.target, request.body);
  const time_point outcome_due = context_->time().Now() + kOutcomeWait;
  backoff delay(kFirstOutcomeRead, kMostOutcomeRead, Hash64(object));
  int tries = 0;
  while (true) {
    auto read =
        co_await ReadStored<idempotency_record>(context_->store(), object);
    if (!read) {
      co_return Fail(read.error().WithOutcome(outcome::not_run));
    }
    std::optional<idempotency_record> before;
    if (*read) {
      before = (*read)->value;
    }
    replay_decision decision = DecideReplay(before, hash);
    if (auto* answer = std::get_if<stored_answer>(&decision)) {
      co_await SendStored(exchange, std::move(*answer), request.request_id);
      co_return std::nullopt;
    }
    if (std::holds_alternative<request_in_progress>(decision) &&
        context_->time().Now() < outcome_due) {
      co_await SleepFor(delay.Next());
      continue;
    }
    auto record =
        ClaimIdempotencyKey(before, hash, context_->settings().id,
                            context_->time().WallNow(), RandomHex(kNonceBytes));
    if (!record) {
      co_return Fail(record.error());
    }
    const write_condition condition = IfUnchanged(*read);
    result<std::uint64_t> written =
        co_await context_->store().Put(object, record->ToJson(), condition);
    if (written) {
      co_return claim{std::move(*record), *written};
    }
    if (written.error().ran() == outcome::may_have_run) {
      // The claim may be stored, but its request does not run.
      change release = [nonce = record->nonce](const idempotency_record& now) {
        return ReleaseIdempotencyKey(now, nonce, RandomHex(kNonceBytes));
      };
      asio::co_spawn(context_->control(),
                     RetryUpdate(object, std::move(release)), kEndOnException);
    }
    const bool lost_race = written.error().kind() == error_kind::conflict;
    if (!lost_race || ++tries == kMaxClaimTries) {
      co_return Fail(written.error().WithOutcome(outcome::not_run));
    }
  }
}

asio::awaitable<result<void>> idempotent_runner::Update(std::string object,
                                                        change apply) {
  auto read =
      co_await ReadStored<idempotency_record>(context_->store(), object);
  if (!read) {
    co_return Fail(read.error());
  }
  if (!*read) {
    co_return Fail(error_kind::not_found, "no such claim");
  }
  auto record = apply((*read)->value);
  if (!record) {
    co_return Fail(record.error());
  }
  const write_condition condition = IfUnchanged(*read);
  result<std::uint64_t> written = co_await context_->store().Put(
      std::move(object), record->ToJson(), condition);
  if (!written) {
    co_return Fail(written.error());
  }
  co_return result<void>();
}

asio::awaitable<void> idempotent_runner::UpdateSoon(std::string object,
                                                    change apply) {
  result<void> updated = co_await Update(object, apply);
  if (!updated) {
    kLog.Warning("An idempotency record is written later.",
                 {{"object", object}, {"error", updated.error().message()}});
    asio::co_spawn(context_->control(),
                   RetryUpdate(std::move(object), std::move(apply)),
                   kEndOnException);
  }
}

asio::awaitable<void> idempotent_runner::RetryUpdate(std::string object,
                                                     change apply) {
  const time_point until = context_->time().Now() + kRetryFor;
  while (context_->time().Now() < until) {
    result<void> updated = co_await Update(object, apply);
    // After a conflict or a missing claim there is nothing left to write.
    if (updated || updated.error().kind() != error_kind::store_unavailable) {
      co_return;
    }
    co_await SleepFor(kRetryInterval);
  }
}

}  // namespace cardamomyard
