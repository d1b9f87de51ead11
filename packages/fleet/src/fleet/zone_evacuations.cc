#include "src/fleet/zone_evacuations.h"

#include <cstddef>
#include <utility>

namespace cardamomyard {
namespace {

// Zones out of use travel in the digests of hosts, which are datagrams.
constexpr std::size_t kMaxZoneBytes = 256;

bool IsZone(const std::string& name) {
  return name.size() <= kMaxZoneBytes;
}

/// \returns a record that hosts compare by its name alone, as digests name only
/// the zones.
store_record ToNamed(std::string zone) {
  return {std::move(zone), "", 0};
}

}  // namespace

bool zone_evacuations::ApplySnapshot(store_snapshot snapshot) {
  std::erase_if(snapshot.records, [](const store_record& record) {
    return !IsZone(record.name);
  });
  for (store_record& record : snapshot.records) {
    record = ToNamed(std::move(record.name));
  }
  return Update(replica_.ApplySnapshot(snapshot));
}

bool zone_evacuations::ApplyChanges(store_changes answer) {
  std::erase_if(answer.changes, [](const store_change& change) {
    return !IsZone(change.record.name);
  });
  for (store_change& change : answer.changes) {
    change.record = ToNamed(std::move(change.record.name));
  }
  return Update(replica_.ApplyChanges(answer));
}

bool zone_evacuations::Adopt(const std::vector<std::string>& zones,
                             std::uint64_t revision) {
  if (revision <= replica_.known_revision()) {
    return false;
  }
  record_update update;
  update.revision = revision;
  for (const std::string& zone : zones) {
    update.changed.push_back(ToNamed(zone));
  }
  const auto difference = replica_.Adopt(update);
  return difference && Update(*difference);
}

bool zone_evacuations::Update(const record_difference& difference) {
  std::set<std::string> next;
  for (const auto& [zone, record] : replica_.records()) {
    next.insert(zone);
  }
  const bool has_changed = !difference.empty() && next != zones_;
  zones_ = std::move(next);
  return has_changed;
}

}  // namespace cardamomyard
