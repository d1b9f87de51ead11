#ifndef CARDAMOMYARD_BATCH_BATCH_LIMITS_H_
#define CARDAMOMYARD_BATCH_BATCH_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cardamomyard {

inline constexpr std::size_t kMaxLineBytes = 256 * 1024;
inline constexpr std::size_t kMaxItemsPerChunk = 1000;
/// The object store takes values up to 1 MB; the rest is left for framing.
inline constexpr std::size_t kMaxChunkBytes = 900'000;
inline constexpr std::size_t kMaxSegmentBytes = 900'000;
/// A manifest lists one 64-digit id per chunk, so 10,000 ids stay under 1 MB.
inline constexpr std::size_t kMaxChunksPerFile = 10'000;
/// Bounds the group record: 1,000 failed items with messages stay under 1 MB.
inline constexpr std::size_t kMaxMessageBytes = 256;
inline constexpr std::size_t kMaxStoredAnswerBytes = 256 * 1024;
inline constexpr std::uint32_t kMaxAttempts = 3;
/// An item that crashed an engine runs alone; it fails when engines crash this
/// often in such runs.
inline constexpr std::uint32_t kMaxLoneCrashes = 3;
/// Pause after a crash in such a run, so that one burst of crashes for another
/// reason does not count several times.
inline constexpr std::chrono::seconds kLoneCrashPause{3};
inline constexpr std::chrono::seconds kGroupLeaseDuration{15};
/// Time between the end of a lease and its takeover by another holder; allows
/// for the clock skew between hosts.
inline constexpr std::chrono::seconds kLeaseTakeoverMargin{2};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_BATCH_BATCH_LIMITS_H_
