#include "src/node/suspect_codec.h"

#include <sstream>

namespace cardamomyard {

std::vector<suspect_message> ToMessages(
    const std::vector<suspect_entry>& entries) {
  std::vector<suspect_message> messages;
  messages.reserve(entries.size());
  for (const suspect_entry& entry : entries) {
    messages.push_back({entry.fingerprint,
                        static_cast<std::int32_t>(entry.state),
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            entry.expiry.time_since_epoch()),
                        static_cast<std::int32_t>(entry.round)});
  }
  return messages;
}

std::vector<suspect_entry> FromMessages(
    const std::vector<suspect_message>& messages) {
  std::vector<suspect_entry> entries;
  entries.reserve(messages.size());
  for (const suspect_message& message : messages) {
    if (message.state < 0 ||
        message.state > static_cast<std::int32_t>(suspect_state::quarantined)) {
      continue;
    }
    entries.push_back({message.fingerprint,
                       static_cast<std::uint32_t>(message.round),
                       static_cast<suspect_state>(message.state),
                       wall_time(message.expiry_unix_time)});
  }
  return entries;
}

std::string ToHeader(const suspect_entry& entry) {
  return std::to_string(entry.round) + " " +
         std::to_string(static_cast<int>(entry.state));
}

std::optional<suspect_entry> FromHeader(request_fingerprint fingerprint,
                                        const std::string& text,
                                        wall_time expiry) {
  std::istringstream fields(text);
  std::uint32_t round = 0;
  int state = 0;
  fields >> round >> state;
  if (!fields || state < 0 ||
      state > static_cast<int>(suspect_state::quarantined)) {
    return std::nullopt;
  }
  return suspect_entry{fingerprint, round, static_cast<suspect_state>(state),
                       expiry};
}

}  // namespace cardamomyard
