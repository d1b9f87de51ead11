#ifndef CARDAMOMYARD_BATCH_IDEMPOTENCY_H_
#define CARDAMOMYARD_BATCH_IDEMPOTENCY_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "src/base/clock.h"
#include "src/base/result.h"

namespace cardamomyard {

/// \brief Stored answer to a non-idempotent request.
struct stored_answer {
  int status = 0;
  std::string content_type;
  std::string body;  ///< Any bytes.

  friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// `claimed`: the request may have run; `released`: it certainly did not run;
/// `answered`: its answer is stored; `answer_too_large`: it ran, but its answer
/// was too large to be stored.
enum class idempotency_state { claimed, released, answered, answer_too_large };

/// \brief Record of one idempotency key, stored as `idem/<account>/<hash>` and
/// written by conditional update.
struct idempotency_record {
  idempotency_state state = idempotency_state::claimed;
  std::string request_hash;
  std::string host;
  wall_time claimed_at;
  stored_answer answer;
  std::string nonce;  ///< Differs for every write.

  std::string ToJson() const;
  static result<idempotency_record> Parse(std::string_view text);
  friend bool operator==(const idempotency_record&,
                         const idempotency_record&) = default;
};

/// \returns the store key for the \p idempotency_key of \p account.
std::string IdempotencyStoreKey(std::string_view account,
                                std::string_view idempotency_key);
/// \returns the hash that distinguishes requests with the same key.
std::string RequestHash(std::string_view method,
                        std::string_view target,
                        std::string_view body);

struct run_request {};       ///< Claim the key, then run the request.
struct request_conflict {};  ///< The key belongs to another request.
/// The request is claimed; its outcome is not stored yet but may be soon.
struct request_in_progress {};
struct request_outcome_unknown {};  ///< Answer with `unknown_outcome`.
using replay_decision = std::variant<run_request,
                                     stored_answer,
                                     request_in_progress,
                                     request_outcome_unknown,
                                     request_conflict>;

/// \brief Decides how to handle a request, given the record of its key.
replay_decision DecideReplay(const std::optional<idempotency_record>& record,
                             std::string_view request_hash);

/// \brief Claims the key of a request before its run.
///
/// Write the record on the condition of the version that was read (create-only
/// when there was no record). The run may start only after it is stored.
/// \returns the record, or `conflict` or `unknown_outcome` when DecideReplay
/// does not return `run_request`.
result<idempotency_record> ClaimIdempotencyKey(
    const std::optional<idempotency_record>& before,
    std::string_view request_hash,
    std::string_view host,
    wall_time now,
    std::string nonce);

/// \brief Adds the answer of the run to the record. Of an answer with more than
/// 256 KB, only the status and the content type are kept.
/// \param claim_nonce  nonce of the claim whose run gave the answer.
result<idempotency_record> RecordIdempotentAnswer(idempotency_record record,
                                                  std::string_view claim_nonce,
                                                  stored_answer answer,
                                                  std::string nonce);

/// \brief Releases the key after a run that ended as `not_run`.
result<idempotency_record> ReleaseIdempotencyKey(idempotency_record record,
                                                 std::string_view claim_nonce,
                                                 std::string nonce);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_IDEMPOTENCY_H_
