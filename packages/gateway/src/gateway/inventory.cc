#include "src/gateway/inventory.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace cardamomyard {
namespace {

// Names the store where logs tell who reported a change; else it is a peer.
constexpr std::string_view kStoreSource = "store";

}  // namespace

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
    PostToTraffic([this, snapshot] {
      ApplyEvacuations(evacuations_.ApplySnapshot(snapshot), kStoreSource);
    });
  };
  events.on_changes = [this](const store_changes& answer) {
    PostToTraffic([this, answer] {
      ApplyEvacuations(evacuations_.ApplyChanges(answer), kStoreSource);
    });
  };
  events.on_contact = [](bool) {};
  evacuation_follower_ = std::make_unique<object_follower>(
      *store_, *clock_, codec_->zone_evacuation_kind(), std::move(events));
}

void inventory::AdoptEvacuations(const std::vector<std::string>& zones,
                                 std::uint64_t revision,
                                 const std::string& peer) {
  if (evacuation_follower_) {
    ApplyEvacuations(evacuations_.Adopt(zones, revision), peer);
  }
}

void inventory::ListAgain(object_follower& follower) {
  boost::asio::post(control_, [&follower] { follower.ListAgain(); });
}

void inventory::ApplyEvacuations(bool changed, std::string_view source) {
  if (evacuations_.needs_listing()) {
    ListAgain(*evacuation_follower_);
  }
  if (!changed && backends_.evacuations_known()) {
    return;
  }
  backends_.SetEvacuations(evacuations_.zones());
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
        ApplyConfiguration(record, kStoreSource);
      });
    }
  };
  follower_events events;
  events.on_snapshot = [apply](const store_snapshot& snapshot) {
    for (const store_record& record : snapshot.records) {
      apply(record);
    }
  };
  events.on_changes = [apply](const store_changes& answer) {
    // The last configuration stays in force when its record is removed.
    for (const store_change& change : answer.changes) {
      if (!change.removed) {
        apply(change.record);
      }
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
  events.on_changes = [this](const store_changes& answer) {
    PostToTraffic([this, answer] { ApplyBackendChanges(answer); });
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
  const record_difference difference = records_.ApplySnapshot(snapshot);
  log_.Info("The backend servers have been listed.",
            {{"listed", snapshot.records.size()},
             {"changed", difference.changed.size()},
             {"removed", difference.removed.size()},
             {"revision", snapshot.revision}});
  ApplyDifference(difference, kStoreSource, entry_log::removals);
  callbacks_.on_backends();
}

void inventory::ApplyBackendChanges(const store_changes& answer) {
  last_contact_ = clock_->Now();
  const record_difference difference = records_.ApplyChanges(answer);
  ApplyDifference(difference, kStoreSource, entry_log::all);
  if (!difference.empty()) {
    callbacks_.on_backends();
  }
}

void inventory::ApplyDifference(const record_difference& difference,
                                std::string_view source,
                                entry_log logged) {
  if (records_.needs_listing()) {
    log_.Warning("The store's watch and a peer tell different servers.",
                 {{"source", source}, {"revision", records_.revision()}});
    ListAgain(*backend_follower_);
  }
  if (difference.corrected > 0) {
    log_.Warning("Entries adopted from a peer were not those of the store.",
                 {{"corrected", difference.corrected},
                  {"revision", records_.revision()}});
  }
  // Removals come first, as a name may have come back.
  for (const std::string& name : difference.removed) {
    log_.Info("The entry of a backend server was removed.",
              {{"backend", name},
               {"source", source},
               {"revision", records_.revision()}});
    reported_entries_.erase(name);
    backends_.Remove(name, clock_->Now());
  }
  for (const store_record& record : difference.changed) {
    ApplyBackend(record, source, logged);
  }
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
  if (!ApplyConfiguration(**record, kStoreSource)) {
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

void inventory::ApplyBackend(const store_record& record,
                             std::string_view source,
                             entry_log logged) {
  const auto entry = codec_->ParseBackend(record);
  if (!entry) {
    ReportUnusable(record, entry.error());
    backends_.Remove(record.name, clock_->Now());
    return;
  }
  if (logged == entry_log::all) {
    log_.Info("A backend server's entry changed.",
              {{"backend", entry->id},
               {"service", entry->service},
               {"address", entry->address.ToString()},
               {"state", entry->draining ? "draining" : "ready"},
               {"source", source},
               {"revision", record.revision}});
  }
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
  snapshot.store_contact_age = store_age();
  record_update update = records_.UpdateSince(
      backends_since > 0 ? std::optional(backends_since) : std::nullopt);
  snapshot.backend_revision = static_cast<std::int64_t>(update.revision);
  if (update.since) {
    snapshot.backends_since = static_cast<std::int64_t>(*update.since);
  }
  snapshot.removed_backends = std::move(update.removed);
  snapshot.backends.reserve(update.changed.size());
  for (store_record& record : update.changed) {
    snapshot.backends.push_back({std::move(record.name),
                                 std::move(record.value),
                                 static_cast<std::int64_t>(record.revision)});
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
  record_update update;
  update.revision = static_cast<std::uint64_t>(snapshot.backend_revision);
  if (snapshot.backends_since) {
    update.since = static_cast<std::uint64_t>(*snapshot.backends_since);
  }
  update.removed = snapshot.removed_backends;
  update.changed.reserve(snapshot.backends.size());
  for (const inventory_record& record : snapshot.backends) {
    update.changed.push_back({record.name, record.value,
                              static_cast<std::uint64_t>(record.revision)});
  }
  const std::uint64_t known = records_.known_revision();
  const auto difference = records_.Adopt(update);
  if (!difference) {
    return;
  }
  log_.Info("The backend servers were adopted from a peer.",
            {{"peer", peer},
             {"records", snapshot.backends.size()},
             {"removed", snapshot.removed_backends.size()},
             {"since", snapshot.backends_since.value_or(0)},
             {"revision", update.revision},
             {"own_revision", known},
             {"peer_store_age_ms", snapshot.store_contact_age
                                       ? snapshot.store_contact_age->count()
                                       : -1}});
  ApplyDifference(*difference, peer,
                  update.since ? entry_log::all : entry_log::removals);
  callbacks_.on_backends();
}

}  // namespace cardamomyard
