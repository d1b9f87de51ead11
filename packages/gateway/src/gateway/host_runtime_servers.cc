// What a host knows of the backend servers: from their answers, and from and
// for the digests between hosts.
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "src/gateway/host_runtime.h"

namespace cardamomyard {
namespace {

// Bounds a digest, which travels in one datagram.
constexpr std::size_t kMaxReportedDepartures = 100;
constexpr std::size_t kMaxReportedColdServers = 200;
// Speeds change seldom, so only one digest in this time carries them.
constexpr std::chrono::milliseconds kSpeedReportPeriod{1000};
constexpr std::size_t kMaxReportedSpeeds = 64;
// Zones are told all or not at all, as a peer takes them for all that there
// are.
constexpr std::size_t kMaxReportedZoneBytes = 16 * 1024;

bool FitsDigest(const std::set<std::string>& zones) {
  std::size_t bytes = 0;
  for (const std::string& zone : zones) {
    bytes += zone.size();
  }
  return bytes <= kMaxReportedZoneBytes;
}

}  // namespace

void host_runtime::RecordBreak(const backend_entry& backend,
                               crash_suspect suspect) {
  crash_monitor_->RecordBreak(backend, std::move(suspect));
}

void host_runtime::RecordHead(const backend_entry& backend,
                              const backend_response_head& head) {
  if (head.misdirected) {
    return;
  }
  backend_directory& directory = current_inventory().backends();
  if (directory.RecordCold({backend.id, backend.started_unix_ms},
                           head.cold_remaining, cold_servers::source::server,
                           clock_.Now())) {
    LogCold(backend.id, head.cold_remaining, "answer");
    UpdateBackends();
    gossip_->NotifyChanged();
  }
  if (!head.leaving) {
    return;
  }
  const departure known{backend.instance(), std::chrono::milliseconds(0)};
  if (!head.is_signed) {
    // No such answer is passed on.
    if (directory.departures().AddClaim(settings_.name, known)) {
      LogDeparture(known, "unsigned answer", settings_.name);
      UpdateBackends();
    }
    return;
  }
  if (directory.AnnounceLeaving(backend, clock_.Now())) {
    LogDeparture(known, "answer", settings_.name);
    UpdateBackends();
    gossip_->NotifyChanged();
  }
}

bool host_runtime::AdmitToBackend(const backend_entry& backend) {
  if (!MaySend(backend)) {
    return false;
  }
  const time_point now = clock_.Now();
  if (!settings_.bounds.cold_servers ||
      !inventory_->backends().IsCold(backend, now)) {
    return true;
  }
  const auto configuration = inventory_->configuration();
  const double rate =
      configuration ? configuration->ColdRate(backend.service) : 0;
  if (rate <= 0) {
    return true;
  }
  const bool admitted = cold_ && cold_->Admit(backend.id, rate, now);
  metrics_
      .Counter("cardamomyard_cold_requests_total",
               {{"outcome", admitted ? "sent" : "held"}})
      .Add();
  return admitted;
}

void host_runtime::RecordColdServers(const load_digest& digest) {
  bool any_new = false;
  for (const cold_report& report : digest.cold_servers) {
    if (current_inventory().backends().RecordCold(
            {report.backend, report.started_unix_ms}, report.remaining,
            cold_servers::source::peer, clock_.Now())) {
      any_new = true;
      LogCold(report.backend, report.remaining, digest.host);
    }
  }
  if (any_new) {
    UpdateBackends();
  }
}

void host_runtime::LogCold(const std::string& backend,
                           std::chrono::milliseconds remaining,
                           std::string_view source) {
  log_.Info("A backend server is cold.", {{"backend", backend},
                                          {"remaining_ms", remaining.count()},
                                          {"source", source}});
}

void host_runtime::UpdateColdLimit() {
  if (!cold_) {
    return;
  }
  const time_point now = clock_.Now();
  std::vector<std::string> heard;
  for (const peer_state* peer : peers_.LivePeers(host_role::gateway, now)) {
    heard.push_back(peer->host.name);
  }
  cold_->SetGateways(std::move(heard),
                     static_cast<std::size_t>(peers_.GatewayCounts(now).first),
                     now);
  metrics_.Gauge("cardamomyard_cold_backends")
      .Set(static_cast<std::int64_t>(
          current_inventory().backends().cold().Count(now)));
}

void host_runtime::UpdateSpeeds() {
  speeds_.Refresh(clock_.Now());
  std::int64_t slow = 0;
  pool_.SetSpeeds([&](const backend_entry& backend) {
    const double speed = speeds_.Of(backend.id, backend.started_unix_ms);
    slow += speed < 1 ? 1 : 0;
    return speed;
  });
  metrics_.Gauge("cardamomyard_slow_backends").Set(slow);
}

void host_runtime::RecordDepartures(const load_digest& digest) {
  std::vector<departure> claims;
  claims.reserve(digest.departures.size());
  for (const departure_report& report : digest.departures) {
    claims.push_back({{report.backend, report.address, report.started_unix_ms,
                       static_cast<std::uint64_t>(report.revision)},
                      report.age});
  }
  const std::vector<departure> added =
      current_inventory().backends().departures().SetClaims(digest.host,
                                                            std::move(claims));
  for (const departure& known : added) {
    LogDeparture(known, "digest", digest.host);
  }
  if (!added.empty()) {
    UpdateBackends();
  }
}

void host_runtime::LogDeparture(const departure& known,
                                std::string_view source,
                                const std::string& host) {
  departure_log_.Info("A backend server announced that it leaves.",
                      {{"backend", known.instance.id},
                       {"address", known.instance.address},
                       {"started_unix_ms", known.instance.started_unix_ms},
                       {"source", source},
                       {"told_by", host},
                       {"age_ms", known.age.count()}});
}
void host_runtime::FillDigest(load_digest& digest) {
  digest.host = settings_.name;
  digest.address = settings_.internal_listen.ToString();
  digest.zone = settings_.zone;
  digest.role = role_;
  digest.incarnation = incarnation_;
  digest.draining = draining_;
  digest.configuration_revision = static_cast<std::int64_t>(
      current_inventory().configuration()
          ? current_inventory().configuration()->revision()
          : 0);
  digest.backend_revision =
      static_cast<std::int64_t>(current_inventory().backend_revision());
  digest.loads = pool_.OwnLoads();
  digest.store_contact_age = current_inventory().store_age();
  const time_point now = clock_.Now();
  digest.crashes = crashes_.RecentCrashes(now);
  digest.verdicts = crashes_.Verdicts(now);
  for (departure& known :
       current_inventory().backends().AnnouncedLeaving(now)) {
    if (digest.departures.size() == kMaxReportedDepartures) {
      break;
    }
    backend_instance& server = known.instance;
    digest.departures.push_back(
        {std::move(server.id), std::move(server.address),
         server.started_unix_ms, static_cast<std::int64_t>(server.revision),
         known.age});
  }
  if (now - speeds_sent_ >= kSpeedReportPeriod) {
    speeds_sent_ = now;
    digest.speeds = speeds_.Reports(kMaxReportedSpeeds);
  }
  if (settings_.bounds.cold_servers) {
    for (const auto& cold :
         current_inventory().backends().cold().Remaining(now)) {
      if (digest.cold_servers.size() == kMaxReportedColdServers) {
        break;
      }
      digest.cold_servers.push_back(
          {cold.server.id, cold.server.started_unix_ms, cold.left});
    }
  }
  if (settings_.bounds.evacuates_zones) {
    const zone_evacuations& known = current_inventory().evacuations();
    if (FitsDigest(known.zones())) {
      digest.evacuated_zones.assign(known.zones().begin(), known.zones().end());
      digest.evacuation_revision = static_cast<std::int64_t>(known.revision());
    }
  }
  callbacks_.fill_digest(digest);
}

void host_runtime::OnDigest(const load_digest& digest) {
  pool_.SetPeerLoads(digest.host, digest.loads);
  crashes_.Merge(digest.crashes, digest.verdicts, clock_.Now());
  RecordDepartures(digest);
  RecordColdServers(digest);
  speeds_.SetReports(digest.host, digest.speeds, clock_.Now());
  if (digest.evacuation_revision > 0) {
    current_inventory().AdoptEvacuations(
        digest.evacuated_zones,
        static_cast<std::uint64_t>(digest.evacuation_revision), digest.host);
  }
  callbacks_.on_digest(digest);
}

}  // namespace cardamomyard
