#include "src/routing/prompt_prefix.h"

#include <algorithm>
#include <cassert>

#include "src/base/digest.h"

namespace cardamomyard {

std::uint64_t PromptPrefixHash(std::string_view prompt,
                               std::size_t max_bytes,
                               std::size_t block_bytes) {
  assert(block_bytes > 0 && "block_bytes must be at least 1");
  const std::string_view prefix = prompt.substr(0, max_bytes);
  if (prefix.size() < block_bytes) {
    return Hash64(prefix);
  }
  return Hash64(prefix.substr(0, prefix.size() / block_bytes * block_bytes));
}

}  // namespace cardamomyard
