#include "engine/generated_text.h"

#include "cardamomyard/base.h"

namespace cardamomyard::standins {
namespace {

constexpr std::size_t kBytesPerToken = 4;

}  // namespace

std::string TokenText(std::uint64_t prompt_hash, std::size_t index) {
  std::uint64_t bits = Hash64(std::to_string(index), prompt_hash);
  std::string text = " ";
  for (int i = 0; i < 5; ++i) {
    text.push_back(static_cast<char>('a' + bits % 26));
    bits /= 26;
  }
  return text;
}

std::size_t CountPromptTokens(std::string_view prompt) {
  return (prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
}

std::vector<std::uint64_t> PrefixBlocks(std::string_view prompt) {
  constexpr std::size_t kBlockBytes = kTokensPerBlock * kBytesPerToken;
  std::vector<std::uint64_t> blocks;
  std::uint64_t prefix = 0;
  for (std::size_t at = 0; at + kBlockBytes <= prompt.size();
       at += kBlockBytes) {
    prefix = Hash64(prompt.substr(at, kBlockBytes), prefix);
    blocks.push_back(prefix);
  }
  return blocks;
}

}  // namespace cardamomyard::standins
