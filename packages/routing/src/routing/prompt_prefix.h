#ifndef CARDAMOMYARD_ROUTING_PROMPT_PREFIX_H_
#define CARDAMOMYARD_ROUTING_PROMPT_PREFIX_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cardamomyard {

/// \brief Hash of the leading whole blocks of a prompt.
///
/// A partial block at the end is ignored, so prompts that share a system prompt
/// and differ in a short question get the same hash. A prompt shorter than one
/// block is hashed in full.
/// \param prompt  text at the start of the engine's input.
/// \param max_bytes  longest prefix that is hashed.
/// \param block_bytes  size of a block; at least 1.
std::uint64_t PromptPrefixHash(std::string_view prompt,
                               std::size_t max_bytes = 1024,
                               std::size_t block_bytes = 256);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_PROMPT_PREFIX_H_
