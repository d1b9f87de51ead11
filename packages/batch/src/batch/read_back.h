#ifndef CARDAMOMYARD_BATCH_READ_BACK_H_
#define CARDAMOMYARD_BATCH_READ_BACK_H_

#include <cstdint>
#include <string_view>

namespace cardamomyard {

/// \brief Outcome of a conditional write, found by reading the record back.
enum class write_outcome {
  applied,      ///< The record is the one that was written.
  not_applied,  ///< The version is unchanged; the write may still take effect.
  superseded,   ///< Another write came later or instead; drop the work.
};

/// \brief Determines the outcome of a conditional write whose answer was lost.
///
/// `not_applied` allows the same write to be sent again with the same
/// condition. \param base_version  the version in the condition of the write.
/// \param written_nonce  the nonce of the record that was written.
inline write_outcome ResolveWriteOutcome(std::uint64_t base_version,
                                         std::string_view written_nonce,
                                         std::uint64_t read_version,
                                         std::string_view read_nonce) {
  if (read_version == base_version) {
    return write_outcome::not_applied;
  }
  return read_nonce == written_nonce ? write_outcome::applied
                                     : write_outcome::superseded;
}

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_READ_BACK_H_
