#include "src/base/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "src/base/digest.h"

namespace cardamomyard {

std::vector<std::string> RendezvousTop(std::span<const std::string> members,
                                       std::string_view key,
                                       std::size_t count) {
  const std::uint64_t key_hash = Hash64(key);
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(members.size());
  for (const std::string& member : members) {
    ranked.emplace_back(Hash64(member, key_hash), &member);
  }
  const std::size_t chosen = std::min(count, ranked.size());
  const auto higher = [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  };
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(chosen),
                    ranked.end(), higher);
  std::vector<std::string> top;
  top.reserve(chosen);
  for (std::size_t i = 0; i < chosen; ++i) {
    top.push_back(*ranked[i].second);
  }
  return top;
}

}  // namespace cardamomyard
