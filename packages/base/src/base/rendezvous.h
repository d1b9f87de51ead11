#ifndef CARDAMOMYARD_BASE_RENDEZVOUS_H_
#define CARDAMOMYARD_BASE_RENDEZVOUS_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomyard {

/// \brief Chooses members for a key by rendezvous hashing.
///
/// Every process that knows the same members makes the same choice, and a
/// member that joins or leaves moves only the keys that it holds itself.
/// \param members  names of the members, in any order.
/// \param key  the key to place.
/// \param count  how many members to choose.
/// \returns at most \p count names, highest rank first.
std::vector<std::string> RendezvousTop(std::span<const std::string> members,
                                       std::string_view key,
                                       std::size_t count);

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BASE_RENDEZVOUS_H_
