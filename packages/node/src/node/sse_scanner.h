#ifndef CARDAMOMYARD_NODE_SSE_SCANNER_H_
#define CARDAMOMYARD_NODE_SSE_SCANNER_H_

#include <string>
#include <string_view>
#include <vector>

namespace cardamomyard {

/// \brief Splits a stream of server-sent events into the data of its events.
class sse_scanner {
 public:
  /// \param bytes  the next piece of the stream, cut anywhere.
  /// \returns the data of the events that this piece completes.
  std::vector<std::string> Feed(std::string_view bytes);

  /// \returns whether the closing event `[DONE]` was seen.
  bool done() const { return done_; }

 private:
  std::string pending_;
  bool done_ = false;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_SSE_SCANNER_H_
