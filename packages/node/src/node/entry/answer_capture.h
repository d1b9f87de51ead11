#ifndef CARDAMOMYARD_NODE_ENTRY_ANSWER_CAPTURE_H_
#define CARDAMOMYARD_NODE_ENTRY_ANSWER_CAPTURE_H_

#include <optional>
#include <string>

#include "cardamomyard/batch.h"
#include "cardamomyard/net.h"

namespace cardamomyard {

/// \brief Buffers an answer while it is relayed to the caller.
class answer_capture {
 public:
  /// Discards an earlier attempt: a request that did not run may be answered on
  /// a retry.
  void Begin(int status, const header_list& headers) {
    answer_ = {status, headers.Get("Content-Type").value_or(""), ""};
    complete_ = false;
  }
  void Add(const std::string& piece) {
    // One byte above the limit is enough to detect that it is too large.
    const std::size_t remaining =
        kMaxStoredAnswerBytes + 1 - answer_.body.size();
    answer_.body.append(piece, 0, remaining);
  }
  void End() { complete_ = true; }

  /// \returns the answer once all of it has been read.
  std::optional<stored_answer> answer() const {
    return complete_ ? std::make_optional(answer_) : std::nullopt;
  }

 private:
  stored_answer answer_;
  bool complete_ = false;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_ANSWER_CAPTURE_H_
