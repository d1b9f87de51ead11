#ifndef CARDAMOMYARD_ROUTING_PROMPT_PREFIX_H_
#define CARDAMOMYARD_ROUTING_PROMPT_PREFIX_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cardamomyard {

/// \brief Hash of the first bytes of a prompt, in whole blocks.
///
/// Only whole blocks count, so prompts that share a system text and differ in
/// a short question get the same hash. A prompt shorter than one block is
/// hashed whole.
/// \param prompt  the text that the engine reads first.
/// \param max_bytes  how much of the prompt counts at most.
/// \param block_bytes  size of a block; at least 1.
std::uint64_t PromptPrefixHash(std::string_view prompt,
                               std::size_t max_bytes = 1024,
                               std::size_t block_bytes = 256);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_ROUTING_PROMPT_PREFIX_H_
