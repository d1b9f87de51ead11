#ifndef CARDAMOMYARD_NODE_SIDECAR_ANSWER_COLLECTOR_H_
#define CARDAMOMYARD_NODE_SIDECAR_ANSWER_COLLECTOR_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "cardamomyard/batch.h"

namespace cardamomyard {

/// \brief Builds the whole answer of an item from the events of its streams.
///
/// An item that was preempted is resumed by a second stream; the collector
/// keeps what the first one sent.
class answer_collector {
 public:
  /// \returns whether the answer to \p body can be rebuilt from a stream; other
  /// bodies (several choices, tools, ...) are run without one.
  static bool CanStream(std::string_view body);

  /// \returns \p body with the fields that ask for a stream, and for the rest
  /// of the tokens when some have been received.
  std::string StreamRequestBody(std::string_view body) const;

  /// Call it before each stream of the item.
  void BeginStream();
  /// Takes the data of one event. \returns false when it is not a piece of an
  /// answer.
  bool Feed(std::string_view event);

  /// \returns whether every token has arrived.
  bool complete() const { return !finish_reason_.empty(); }
  std::uint64_t tokens() const { return tokens_; }
  /// \returns the engine's id of the present stream, empty before its first
  /// event.
  const std::string& stream_id() const { return stream_id_; }
  /// \returns the answer as if it had come in one piece.
  std::string AssembledAnswer() const;
  token_usage Usage() const;

 private:
  std::string id_;  // Of the last stream that sent something.
  std::string stream_id_;
  std::string model_;
  std::string text_;
  std::string finish_reason_;
  bool chat_ = false;
  std::uint64_t tokens_ = 0;
  std::uint64_t tokens_before_ = 0;  // Of the item's earlier streams.
  std::uint64_t prompt_tokens_ = 0;
  std::uint64_t stream_tokens_ = 0;  // As the engine counts this stream.
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_ANSWER_COLLECTOR_H_
