#ifndef CARDAMOMYARD_BATCH_READ_BACK_H_
#define CARDAMOMYARD_BATCH_READ_BACK_H_

#include <cstdint>
#include <string_view>

namespace cardamomyard {

/// \brief What a read after a lost answer says about the write.
enum class read_back {
  applied,     ///< The record is the one that was written.
  not_yet,     ///< The version is still the one the write was based on.
  superseded,  ///< Another writer was later or instead; drop the work.
};

/// \brief Judges a conditional update whose answer was lost.
///
/// `not_yet` allows the same write to be sent again with the same condition.
/// \param base_version  the version in the condition of the write.
/// \param written_nonce  the nonce of the record that was written.
inline read_back JudgeReadBack(std::uint64_t base_version,
                               std::string_view written_nonce,
                               std::uint64_t read_version,
                               std::string_view read_nonce) {
  if (read_version == base_version) {
    return read_back::not_yet;
  }
  return read_nonce == written_nonce ? read_back::applied
                                     : read_back::superseded;
}

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_READ_BACK_H_
