#ifndef CARDAMOMYARD_NODE_ENTRY_INFERENCE_REQUEST_H_
#define CARDAMOMYARD_NODE_ENTRY_INFERENCE_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief The fields of a completion request that an entry host uses.
struct inference_request {
  std::string model;
  bool stream = false;
  /// The start of the prompt, used for prefix cache affinity.
  std::string prompt;
  /// Fingerprints of the messages of a chat without the last one.
  std::vector<std::uint64_t> parts;
};

/// \brief Reads the body of a chat completion or completion request.
/// \returns the request, or `invalid_request` with the name of the invalid
/// field and the expected value.
result<inference_request> ParseInferenceRequest(std::string_view path,
                                                std::string_view body);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_INFERENCE_REQUEST_H_
