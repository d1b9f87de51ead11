#ifndef CARDAMOMYARD_NODE_SIDECAR_ANSWER_COLLECTOR_H_
#define CARDAMOMYARD_NODE_SIDECAR_ANSWER_COLLECTOR_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "cardamomyard/batch.h"

namespace cardamomyard {

/// \brief Assembles the answer of an item from the events of its streams.
///
/// A preempted item is resumed by another stream; the collector keeps the text
/// that earlier streams sent.
class answer_collector {
 public:
  /// \returns whether the answer to \p body can be assembled from a stream.
  /// Other requests (several choices, tools, ...) run without streaming.
  static bool CanStream(std::string_view body);

  /// \returns \p body with the fields that request a stream and, if tokens have
  /// been received, the resumption after the last of them.
  std::string StreamRequestBody(std::string_view body) const;

  /// Call it before each stream of the item.
  void BeginStream();
  /// Adds the data of one event. \returns false if it is not an answer event.
  bool Feed(std::string_view event);

  /// \returns whether every token has arrived.
  bool complete() const { return !finish_reason_.empty(); }
  std::uint64_t tokens() const { return tokens_; }
  /// \returns the engine's id of the current stream; empty before its first
  /// event.
  const std::string& stream_id() const { return stream_id_; }
  /// \returns the answer in the format of a non-streamed response.
  std::string AssembledAnswer() const;
  token_usage Usage() const;

 private:
  std::string id_;  // Id of the last stream that sent an event.
  std::string stream_id_;
  std::string model_;
  std::string text_;
  std::string finish_reason_;
  bool chat_ = false;
  std::uint64_t tokens_ = 0;
  std::uint64_t earlier_tokens_ = 0;  // Tokens of earlier streams.
  std::uint64_t prompt_tokens_ = 0;
  std::uint64_t stream_tokens_ = 0;  // Usage reported for this stream.
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SIDECAR_ANSWER_COLLECTOR_H_
