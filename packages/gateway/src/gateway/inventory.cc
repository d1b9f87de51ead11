#include "src/gateway/inventory.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace cardamomyard {

inventory::inventory(object_store& store,
                     const protocol& codec,
                     const clock& time,
                     std::chrono::milliseconds drain_bound,
                     boost::asio::any_io_executor traffic,
                     boost::asio::any_io_executor control,
                     event_callbacks callbacks)
    : store_(&store),
      codec_(&codec),
      clock_(&time),
      traffic_(std::move(traffic)),
      control_(std::move(control)),
      callbacks_(std::move(callbacks)),
      backends_(drain_bound) {}

void inventory::PostToTraffic(std::function<void()> work) {
  boost::asio::post(traffic_, std::move(work));
}

void inventory::Start() {
  FollowConfiguration();
  FollowBackends();
  if (evacuation_follower_) {
    boost::asio::co_spawn(control_, evacuation_follower_->Run(),
                          kEndOnException);
  }
}

void inventory::FollowEvacuations() {
  backends_.RequireEvacuations();
  follower_events events;
  events.on_snapshot = [this](const store_snapshot& snapshot) {
    std::set<std::string> zones;
    for (const store_record& record : snapshot.records) {
      zones.insert(record.name);
    }
    PostToTraffic([this, zones = std::move(zones),
                   revision = snapshot.revision]() mutable {
      ApplyEvacuations(evacuations_.Replace(std::move(zones), revision),
                       "store");
    });
  };
  events.on_change = [this](const store_change& change,
                            std::uint64_t revision) {
    PostToTraffic(
        [this, zone = change.record.name, removed = change.removed, revision] {
          ApplyEvacuations(evacuations_.Set(zone, !removed, revision), "store");
        });
  };
  events.on_contact = [](bool) {};
  evacuation_follower_ = std::make_unique<object_follower>(
      *store_, *clock_, codec_->zone_evacuation_kind(), std::move(events));
}

void inventory::AdoptEvacuations(std::set<std::string> zones,
                                 std::uint64_t revision,
                                 const std::string& peer) {
  if (evacuation_follower_ && revision >= evacuations_.revision()) {
    ApplyEvacuations(evacuations_.Adopt(std::move(zones), revision), peer);
  }
}

void inventory::ApplyEvacuations(bool changed, std::string_view source) {
  const bool is_first = !backends_.evacuations_known();
  backends_.SetEvacuations(evacuations_.zones());
  if (!changed && !is_first) {
    return;
  }
  std::string names;
  for (const std::string& zone : evacuations_.zones()) {
    names += (names.empty() ? "" : ",") + zone;
  }
  log_.Info("The evacuated zones have changed.",
            {{"zones", names},
             {"source", source},
             {"revision", evacuations_.revision()}});
  callbacks_.on_evacuations();
}

void inventory::FollowConfiguration() {
  const auto apply = [this](const store_record& record) {
    if (record.name == codec_->configuration_name()) {
      PostToTraffic([this, record] {
        last_contact_ = clock_->Now();
        ApplyConfiguration(record, "store");
      });
    }
  };
  follower_events events;
  events.on_snapshot = [apply](const store_snapshot& snapshot) {
    for (const store_record& record : snapshot.records) {
      apply(record);
    }
  };
  events.on_change = [apply](const store_change& change, std::uint64_t) {
    // The last configuration stays in force when its record is removed.
    if (!change.removed) {
      apply(change.record);
    }
  };
  events.on_contact = [this](bool in_contact) {
    PostToTraffic([this, in_contact] { RecordContact(in_contact); });
  };
  configuration_follower_ = std::make_unique<object_follower>(
      *store_, *clock_, codec_->configuration_kind(), std::move(events));
  boost::asio::co_spawn(control_, configuration_follower_->Run(),
                        kEndOnException);
}

void inventory::FollowBackends() {
  follower_events events;
  events.on_snapshot = [this](const store_snapshot& snapshot) {
    PostToTraffic([this, snapshot] { ApplyBackendSnapshot(snapshot); });
  };
  events.on_change = [this](const store_change& change,
                            std::uint64_t revision) {
    PostToTraffic(
        [this, change, revision] { ApplyBackendChange(change, revision); });
  };
  events.on_contact = [this](bool in_contact) {
    PostToTraffic([this, in_contact] {
      if (in_contact) {
        backends_.OnStoreRecovered(clock_->Now());
      }
      RecordContact(in_contact);
    });
  };
  backend_follower_ = std::make_unique<object_follower>(
      *store_, *clock_, codec_->backend_kind(), std::move(events));
  boost::asio::co_spawn(control_, backend_follower_->Run(), kEndOnException);
}

void inventory::ApplyBackendSnapshot(const store_snapshot& snapshot) {
  last_contact_ = clock_->Now();
  if (snapshot.revision < adopted_revision_) {
    return;
  }
  std::map<std::string, store_record> listed_records;
  std::vector<backend_entry> entries;
  for (const store_record& record : snapshot.records) {
    listed_records[record.name] = record;
    if (auto entry = codec_->ParseBackend(record)) {
      entries.push_back(std::move(*entry));
    } else {
      ReportUnusable(record, entry.error());
    }
  }
  std::erase_if(reported_entries_, [&listed_records](const auto& reported) {
    return !listed_records.contains(reported.first);
  });
  log_.Info("The backend servers have been listed.",
            {{"listed", listed_records.size()},
             {"usable", entries.size()},
             {"revision", snapshot.revision}});
  if (!backends_listed_ || listed_records != backend_records_) {
    backend_revision_ = snapshot.revision;
  }
  backend_records_ = std::move(listed_records);
  removed_backends_.Reset(backend_revision_);
  backends_.Replace(std::move(entries), clock_->Now());
  backends_listed_ = true;
  callbacks_.on_backends();
}

void inventory::ApplyBackendChange(const store_change& change,
                                   std::uint64_t revision) {
  last_contact_ = clock_->Now();
  if (revision < adopted_revision_) {
    return;
  }
  backend_revision_ = std::max(backend_revision_, revision);
  if (change.removed) {
    RemoveBackend(change.record.name, revision);
  } else {
    ApplyBackend(change.record);
  }
  callbacks_.on_backends();
}

void inventory::SetWatch(std::chrono::milliseconds wait,
                         read_freshness freshness) {
  const std::pair next(wait, freshness);
  if (watch_ == next) {
    return;
  }
  watch_ = next;
  boost::asio::post(control_, [this, wait, freshness] {
    configuration_follower_->SetWatch(wait, freshness);
    backend_follower_->SetWatch(wait, freshness);
    if (evacuation_follower_) {
      evacuation_follower_->SetWatch(wait, freshness);
    }
  });
}

void inventory::RecordContact(bool in_contact) {
  in_contact_ = in_contact;
  if (in_contact) {
    last_contact_ = clock_->Now();
  }
}

boost::asio::awaitable<bool> inventory::ReadConfiguration() {
  const time_point requested = clock_->Now();
  const auto record = co_await store_->Get(codec_->configuration_kind(),
                                           codec_->configuration_name());
  if (!record || !*record) {
    log_.Warning("The configuration cannot be read.",
                 {{"reason", record ? "the store holds no configuration"
                                    : record.error().message()}});
    co_return false;
  }
  if (!ApplyConfiguration(**record, "store")) {
    co_return false;
  }
  configuration_read_ = requested;
  co_return true;
}

bool inventory::ApplyConfiguration(const store_record& record,
                                   std::string_view source) {
  if (configuration_ && record.revision <= configuration_->revision()) {
    return true;
  }
  auto parsed = codec_->ParseConfiguration(record);
  if (!parsed) {
    log_.Error("A configuration cannot be parsed; the last one stays in force.",
               {{"revision", record.revision},
                {"source", source},
                {"reason", parsed.error().message()}});
    return false;
  }
  configuration_ = std::make_shared<const service_map>(std::move(*parsed));
  configuration_record_ = record;
  log_.Info("A new configuration is in force.",
            {{"version", configuration_->version()},
             {"revision", record.revision},
             {"source", source},
             {"routes", configuration_->routes().size()},
             {"accounts", configuration_->accounts().size()}});
  callbacks_.on_configuration(configuration_);
  return true;
}

void inventory::ApplyBackend(const store_record& record) {
  const auto entry = codec_->ParseBackend(record);
  backend_records_[record.name] = record;
  if (!entry) {
    ReportUnusable(record, entry.error());
    backends_.Remove(record.name, clock_->Now());
    return;
  }
  log_.Info("A backend server's entry changed.",
            {{"backend", entry->id},
             {"service", entry->service},
             {"address", entry->address.ToString()},
             {"state", entry->draining ? "draining" : "ready"},
             {"revision", record.revision}});
  backends_.Upsert(*entry, clock_->Now());
}

void inventory::ReportUnusable(const store_record& record,
                               const error& reason) {
  if (std::exchange(reported_entries_[record.name], record.revision) !=
      record.revision) {
    log_.Warning("The entry of a backend server cannot be used.",
                 {{"backend", record.name},
                  {"revision", record.revision},
                  {"reason", reason.message()}});
  }
}

void inventory::RemoveBackend(const std::string& name, std::uint64_t revision) {
  log_.Info("The entry of a backend server was removed.",
            {{"backend", name}, {"revision", revision}});
  if (backend_records_.erase(name) > 0) {
    removed_backends_.Add(name, revision);
  }
  reported_entries_.erase(name);
  backends_.Remove(name, clock_->Now());
}

std::optional<std::chrono::milliseconds> inventory::store_age() const {
  if (!last_contact_) {
    return std::nullopt;
  }
  if (in_contact_) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock_->Now() -
                                                               *last_contact_);
}

inventory_snapshot inventory::Snapshot(std::uint64_t configuration_since,
                                       std::uint64_t backends_since) const {
  inventory_snapshot snapshot;
  if (configuration_ && configuration_record_.revision > configuration_since) {
    snapshot.configuration = configuration_record_.value;
    snapshot.configuration_revision =
        static_cast<std::int64_t>(configuration_record_.revision);
  }
  snapshot.backend_revision = static_cast<std::int64_t>(backend_revision_);
  snapshot.store_contact_age = store_age();
  std::uint64_t newer_than = 0;
  if (backends_since > 0) {
    if (auto removed = removed_backends_.Since(backends_since)) {
      newer_than = backends_since;
      snapshot.backends_since = static_cast<std::int64_t>(backends_since);
      snapshot.removed_backends = std::move(*removed);
    }
  }
  for (const auto& [name, record] : backend_records_) {
    if (record.revision > newer_than) {
      snapshot.backends.push_back(
          {name, record.value, static_cast<std::int64_t>(record.revision)});
    }
  }
  return snapshot;
}

void inventory::Adopt(const inventory_snapshot& snapshot,
                      const std::string& peer) {
  if (snapshot.configuration_revision > 0) {
    ApplyConfiguration(
        {codec_->configuration_name(), snapshot.configuration,
         static_cast<std::uint64_t>(snapshot.configuration_revision)},
        peer);
  }
  const auto revision = static_cast<std::uint64_t>(snapshot.backend_revision);
  if (revision <= backend_revision_) {
    return;
  }
  const auto since =
      static_cast<std::uint64_t>(snapshot.backends_since.value_or(0));
  if (since > backend_revision_) {
    // Changes to a state that this host does not have.
    return;
  }
  log_.Info("The backend servers were adopted from a peer.",
            {{"peer", peer},
             {"records", snapshot.backends.size()},
             {"removed", snapshot.removed_backends.size()},
             {"since", since},
             {"revision", revision},
             {"own_revision", backend_revision_},
             {"peer_store_age_ms", snapshot.store_contact_age
                                       ? snapshot.store_contact_age->count()
                                       : -1}});
  if (snapshot.backends_since) {
    AdoptBackendChanges(snapshot);
  } else {
    AdoptAllBackends(snapshot);
  }
  backend_revision_ = revision;
  adopted_revision_ = revision;
  backends_listed_ = true;
  callbacks_.on_backends();
}

void inventory::AdoptAllBackends(const inventory_snapshot& snapshot) {
  std::vector<backend_entry> entries;
  backend_records_.clear();
  for (const inventory_record& peer_record : snapshot.backends) {
    const store_record record{peer_record.name, peer_record.value,
                              static_cast<std::uint64_t>(peer_record.revision)};
    backend_records_[peer_record.name] = record;
    if (auto entry = codec_->ParseBackend(record)) {
      entries.push_back(std::move(*entry));
    }
  }
  removed_backends_.Reset(
      static_cast<std::uint64_t>(snapshot.backend_revision));
  backends_.Replace(std::move(entries), clock_->Now());
}

void inventory::AdoptBackendChanges(const inventory_snapshot& snapshot) {
  const auto revision = static_cast<std::uint64_t>(snapshot.backend_revision);
  for (const std::string& name : snapshot.removed_backends) {
    if (backend_records_.contains(name)) {
      RemoveBackend(name, revision);
    }
  }
  // After the removals, as a name may have come back.
  for (const inventory_record& changed : snapshot.backends) {
    const store_record record{changed.name, changed.value,
                              static_cast<std::uint64_t>(changed.revision)};
    const auto known = backend_records_.find(record.name);
    if (known == backend_records_.end() ||
        known->second.revision < record.revision) {
      ApplyBackend(record);
    }
  }
}

}  // namespace cardamomyard
