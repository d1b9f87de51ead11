#include "src/fleet/crash_record.h"

namespace cardamomyard {
namespace {

// Callers resend within minutes; a longer retention would blame requests that
// broke off for other reasons.
constexpr std::chrono::seconds kRetention{120};
constexpr std::size_t kMaxEntries = 4096;

}  // namespace

void crash_record::RecordCrash(std::uint64_t fingerprint,
                               const std::string& backend,
                               time_point now) {
  if (entries_.size() >= kMaxEntries) {
    Expire(now);
  }
  entry& suspect = entries_[fingerprint];
  suspect.backends.insert(backend);
  suspect.last_crash = now;
}

void crash_record::RecordCompletion(std::uint64_t fingerprint) {
  entries_.erase(fingerprint);
}

bool crash_record::IsRefused(std::uint64_t fingerprint, time_point now) {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) {
    return false;
  }
  if (now - found->second.last_crash > kRetention) {
    entries_.erase(found);
    return false;
  }
  return found->second.backends.size() >= kMaxCrashes;
}

void crash_record::Expire(time_point now) {
  std::erase_if(entries_, [now](const auto& item) {
    return now - item.second.last_crash > kRetention;
  });
  if (entries_.size() >= kMaxEntries) {
    entries_.clear();
  }
}

}  // namespace cardamomyard
