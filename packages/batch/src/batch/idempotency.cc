#include "src/batch/idempotency.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <stdexcept>

#include "src/base/digest.h"
#include "src/batch/batch_limits.h"
#include "src/batch/json_fields.h"

namespace cardamomyard {
namespace {
namespace json = boost::json;

constexpr std::array<std::string_view, 4> kStates{
    "claimed", "released", "answered", "answer_too_large"};

std::string ToBase64(std::string_view bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::string FromBase64(std::string_view text, std::size_t bytes) {
  std::string out(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  // EVP_DecodeBlock counts the padding as data.
  if (size < 0 || static_cast<std::size_t>(size) < bytes ||
      static_cast<std::size_t>(size) > bytes + 2) {
    throw std::invalid_argument("invalid base64 body");
  }
  out.resize(bytes);
  return out;
}

result<void> CheckClaim(const idempotency_record& record,
                        std::string_view claim_nonce) {
  if (record.state != idempotency_state::claimed ||
      record.nonce != claim_nonce) {
    return Fail(error_kind::conflict, "the request is claimed by another run");
  }
  return {};
}

}  // namespace

std::string idempotency_record::ToJson() const {
  return json::serialize(
      json::object{{"state", kStates[static_cast<std::size_t>(state)]},
                   {"request", request_hash},
                   {"host", host},
                   {"claimed_ms", internal::ToUnixMs(claimed_at)},
                   {"status", answer.status},
                   {"content_type", internal::ToValidUtf8(answer.content_type)},
                   {"bytes", answer.body.size()},
                   {"body", ToBase64(answer.body)},
                   {"nonce", nonce}});
}

result<idempotency_record> idempotency_record::Parse(std::string_view text) {
  idempotency_record record;
  const result<void> read = internal::ParseRecord(
      text, "idempotency record", [&record](const json::object& object) {
        const std::string name = internal::GetString(object, "state");
        const auto* state = std::find(kStates.begin(), kStates.end(), name);
        if (state == kStates.end()) {
          throw std::invalid_argument("unknown idempotency state");
        }
        record.state = static_cast<idempotency_state>(state - kStates.begin());
        record.request_hash = internal::GetString(object, "request");
        record.host = internal::GetString(object, "host");
        record.claimed_at = internal::GetWallTime(object, "claimed_ms");
        record.answer.status = object.at("status").to_number<int>();
        record.answer.content_type =
            internal::GetString(object, "content_type");
        record.answer.body = FromBase64(internal::GetString(object, "body"),
                                        internal::GetUint64(object, "bytes"));
        record.nonce = internal::GetString(object, "nonce");
      });
  if (!read) {
    return Fail(read.error());
  }
  return record;
}

std::string IdempotencyStoreKey(std::string_view account,
                                std::string_view idempotency_key) {
  return "idem/" + std::string(account) + "/" + Sha256Hex(idempotency_key);
}

std::string RequestHash(std::string_view method,
                        std::string_view target,
                        std::string_view body) {
  return internal::ShortHash({method, target, body});
}

replay_decision DecideReplay(const std::optional<idempotency_record>& record,
                             std::string_view request_hash) {
  if (!record) {
    return run_request{};
  }
  if (record->request_hash != request_hash) {
    return request_conflict{};
  }
  switch (record->state) {
    case idempotency_state::released:
      return run_request{};
    case idempotency_state::answered:
      return record->answer;
    case idempotency_state::claimed:
      return request_in_progress{};
    case idempotency_state::answer_too_large:
      break;
  }
  return request_outcome_unknown{};
}

result<idempotency_record> ClaimIdempotencyKey(
    const std::optional<idempotency_record>& before,
    std::string_view request_hash,
    std::string_view host,
    wall_time now,
    std::string nonce) {
  const replay_decision decision = DecideReplay(before, request_hash);
  if (std::holds_alternative<request_conflict>(decision)) {
    return Fail(error_kind::conflict,
                "the Idempotency-Key was used before with another request");
  }
  if (!std::holds_alternative<run_request>(decision)) {
    return Fail(error_kind::unknown_outcome,
                "the request was started before; it may have run");
  }
  idempotency_record record;
  record.request_hash = request_hash;
  record.host = host;
  record.claimed_at = std::chrono::floor<std::chrono::milliseconds>(now);
  record.nonce = std::move(nonce);
  return record;
}

result<idempotency_record> RecordIdempotentAnswer(idempotency_record record,
                                                  std::string_view claim_nonce,
                                                  stored_answer answer,
                                                  std::string nonce) {
  if (const result<void> claimed = CheckClaim(record, claim_nonce); !claimed) {
    return Fail(claimed.error());
  }
  record.state = idempotency_state::answered;
  if (answer.body.size() > kMaxStoredAnswerBytes) {
    record.state = idempotency_state::answer_too_large;
    answer.body.clear();
  }
  record.answer = std::move(answer);
  record.nonce = std::move(nonce);
  return record;
}

result<idempotency_record> ReleaseIdempotencyKey(idempotency_record record,
                                                 std::string_view claim_nonce,
                                                 std::string nonce) {
  if (const result<void> claimed = CheckClaim(record, claim_nonce); !claimed) {
    return Fail(claimed.error());
  }
  record.state = idempotency_state::released;
  record.nonce = std::move(nonce);
  return record;
}

}  // namespace cardamomyard
