#ifndef CARDAMOMYARD_BATCH_BATCH_LIMITS_H_
#define CARDAMOMYARD_BATCH_BATCH_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cardamomyard {

inline constexpr std::size_t kMaxLineBytes = 256 * 1024;
inline constexpr std::size_t kMaxItemsPerChunk = 1000;
/// The object API takes values up to 1 MB; the rest is left for framing.
inline constexpr std::size_t kMaxChunkBytes = 900'000;
inline constexpr std::size_t kMaxSegmentBytes = 900'000;
/// A manifest lists one 64-digit id per chunk, so this many stay under 1 MB.
inline constexpr std::size_t kMaxChunksPerFile = 10'000;
/// Bounds the group record: 1,000 failed items with messages stay under 1 MB.
inline constexpr std::size_t kMaxMessageBytes = 256;
inline constexpr std::size_t kMaxStoredAnswerBytes = 256 * 1024;
inline constexpr std::uint32_t kMaxAttempts = 3;
inline constexpr std::chrono::seconds kGroupLeaseDuration{15};
/// Wall clocks of hosts differ; a lease is taken over only this much later.
inline constexpr std::chrono::seconds kLeaseTakeoverMargin{2};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_BATCH_LIMITS_H_
