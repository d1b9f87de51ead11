#ifndef CARDAMOMYARD_STANDINS_ENGINE_GENERATED_TEXT_H_
#define CARDAMOMYARD_STANDINS_ENGINE_GENERATED_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomyard::standins {

/// \returns the text of generated token \p index, which depends only on the
/// prompt, so that a resumed stream can be compared with an uninterrupted one.
std::string TokenText(std::uint64_t prompt_hash, std::size_t index);

/// \returns the tokens of \p prompt, counted as four bytes each.
std::size_t CountPromptTokens(std::string_view prompt);

inline constexpr std::size_t kTokensPerBlock = 16;

/// \returns a hash for each whole block of the prompt; it covers everything
/// before the end of the block, so equal hashes mean equal prefixes.
std::vector<std::uint64_t> PrefixBlocks(std::string_view prompt);

}  // namespace cardamomyard::standins

#endif  // CARDAMOMYARD_STANDINS_ENGINE_GENERATED_TEXT_H_
