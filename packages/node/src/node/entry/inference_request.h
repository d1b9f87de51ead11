#ifndef CARDAMOMYARD_NODE_ENTRY_INFERENCE_REQUEST_H_
#define CARDAMOMYARD_NODE_ENTRY_INFERENCE_REQUEST_H_

#include <string>
#include <string_view>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief What an entry host reads from the body of a completion request.
struct inference_request {
  std::string model;
  bool stream = false;
  /// The start of the prompt, for cache affinity.
  std::string prompt;
};

/// \brief Reads the body of a chat completion or completion request.
/// \returns `invalid_request` that names the field and the value expected.
result<inference_request> ParseInferenceRequest(std::string_view path,
                                                std::string_view body);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_INFERENCE_REQUEST_H_
