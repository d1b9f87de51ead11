#ifndef CARDAMOMYARD_BATCH_ITEM_H_
#define CARDAMOMYARD_BATCH_ITEM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/base/error.h"

namespace cardamomyard {

enum class item_state { pending, completed, failed, cancelled };

std::string_view ToString(item_state value);

/// \brief Number of items by final state.
struct item_counts {
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;

  std::uint64_t total() const { return completed + failed + cancelled; }
  item_counts& operator+=(const item_counts& other);
  friend bool operator==(const item_counts&, const item_counts&) = default;
};

/// \brief Tokens of one item, as reported by the engine.
struct token_usage {
  std::uint64_t prompt = 0;
  std::uint64_t completion = 0;

  friend bool operator==(const token_usage&, const token_usage&) = default;
};

/// \brief One item in a group record.
struct group_item {
  item_state state = item_state::pending;
  std::uint32_t attempts = 0;
  std::uint32_t crashes = 0;  ///< Engine crashes while the item ran.
  bool intent = false;        ///< A non-repeatable run may have started.
  std::optional<std::uint32_t> segment;  ///< Index into the group's segments.
  token_usage tokens;
  std::optional<error_kind> failure;
  std::string message;

  friend bool operator==(const group_item&, const group_item&) = default;
};

/// \brief Outcome of one run of an item, as passed to Commit.
struct item_result {
  enum class run_outcome { completed, failed, retry, suspect };

  std::size_t item = 0;
  run_outcome outcome = run_outcome::completed;
  bool counts_as_attempt = true;
  token_usage tokens;
  error_kind failure = error_kind::internal;  ///< Only for `failed`.
  std::string message;

  friend bool operator==(const item_result&, const item_result&) = default;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_ITEM_H_
