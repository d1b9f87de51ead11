#include "src/wire/fleet_codec.h"

#include <control_types.h>

#include <algorithm>
#include <cmath>

#include "src/wire/age_codec.h"
#include "src/wire/thrift_buffer.h"

namespace cardamomyard {
namespace thrift_wire = internal::thrift_wire;
using internal::ConvertList;
using internal::FromAge;
using internal::Serialize;
using internal::ToAge;

namespace {

// A digest travels in one datagram.
constexpr int kMaxDigestBytes = 64 * 1024;
// Configuration and entries of some thousand backend servers.
constexpr int kMaxSnapshotBytes = 16 << 20;
// Results of one page, each at most some hundred kilobytes of text.
constexpr int kMaxPageBytes = 16 << 20;

constexpr double kThousand = 1000;

std::chrono::milliseconds ReadAge(std::int64_t milliseconds) {
  return std::chrono::milliseconds(std::max<std::int64_t>(0, milliseconds));
}

thrift_wire::CrashReport ToWire(const crash_report& report) {
  thrift_wire::CrashReport entry;
  entry.backend = report.backend;
  entry.age_ms = report.age.count();
  entry.suspects =
      ConvertList(report.suspects, [](const crash_suspect& suspect) {
        thrift_wire::CrashSuspect accused;
        accused.request = static_cast<std::int64_t>(suspect.request);
        accused.parts.assign(suspect.parts.begin(), suspect.parts.end());
        return accused;
      });
  return entry;
}

crash_report FromWire(const thrift_wire::CrashReport& entry) {
  return {
      entry.backend, ReadAge(entry.age_ms),
      ConvertList(entry.suspects, [](const thrift_wire::CrashSuspect& accused) {
        return crash_suspect{static_cast<std::uint64_t>(accused.request),
                             {accused.parts.begin(), accused.parts.end()}};
      })};
}

}  // namespace

std::string Encode(const load_digest& message) {
  thrift_wire::LoadDigest wire;
  wire.host = message.host;
  wire.address = message.address;
  wire.zone = message.zone;
  wire.role = static_cast<std::int32_t>(message.role);
  wire.incarnation = message.incarnation;
  wire.sequence = message.sequence;
  wire.draining = message.draining;
  wire.configuration_revision = message.configuration_revision;
  wire.backend_revision = message.backend_revision;
  wire.loads = ConvertList(message.loads, [](const backend_load& load) {
    thrift_wire::BackendLoad entry;
    entry.backend = load.backend;
    entry.online = load.online;
    entry.batch = load.batch;
    return entry;
  });
  wire.uses = ConvertList(message.uses, [](const account_use& use) {
    thrift_wire::AccountUse entry;
    entry.account = use.account;
    entry.admitted = use.admitted;
    return entry;
  });
  wire.backlogs = ConvertList(message.backlogs, [](const batch_backlog& log) {
    thrift_wire::Backlog entry;
    entry.account = log.account;
    entry.route = log.route;
    entry.tokens = log.tokens;
    return entry;
  });
  wire.store_contact_age_ms = FromAge(message.store_contact_age);
  wire.crashes = ConvertList(message.crashes, ToWire);
  wire.verdicts =
      ConvertList(message.verdicts, [](const crash_verdict& verdict) {
        thrift_wire::CrashVerdict entry;
        entry.fingerprint = static_cast<std::int64_t>(verdict.fingerprint);
        entry.refused = verdict.refused;
        entry.age_ms = verdict.age.count();
        entry.trials = verdict.trials;
        return entry;
      });
  wire.departures =
      ConvertList(message.departures, [](const departure_report& report) {
        thrift_wire::Departure entry;
        entry.backend = report.backend;
        entry.address = report.address;
        entry.started_unix_ms = report.started_unix_ms;
        entry.revision = report.revision;
        entry.age_ms = report.age.count();
        return entry;
      });
  // Builds without these fields are sent nothing more, and neither are hosts of
  // deployments that have no use for them.
  if (!message.cold_servers.empty()) {
    wire.__set_cold_servers(
        ConvertList(message.cold_servers, [](const cold_report& report) {
          thrift_wire::ColdServer entry;
          entry.backend = report.backend;
          entry.started_unix_ms = report.started_unix_ms;
          entry.remaining_ms = report.remaining.count();
          return entry;
        }));
  }
  if (message.evacuation_revision > 0) {
    wire.__set_evacuated_zones(message.evacuated_zones);
    wire.__set_evacuation_revision(message.evacuation_revision);
  }
  if (message.partial_uses) {
    wire.__set_partial_uses(true);
  }
  if (!message.speeds.empty()) {
    wire.__set_speeds(
        ConvertList(message.speeds, [](const speed_report& report) {
          thrift_wire::BackendSpeed entry;
          entry.backend = report.backend;
          entry.started_unix_ms = report.started_unix_ms;
          entry.thousandths =
              static_cast<std::int32_t>(std::lround(report.speed * kThousand));
          entry.observations = report.observations;
          return entry;
        }));
  }
  return Serialize(wire);
}

template <>
result<load_digest> Decode(std::string_view bytes) {
  const auto wire =
      internal::Deserialize<thrift_wire::LoadDigest>(bytes, kMaxDigestBytes);
  if (!wire) {
    return Fail(wire.error());
  }
  if (wire->role != static_cast<std::int32_t>(host_role::gateway) &&
      wire->role != static_cast<std::int32_t>(host_role::worker)) {
    return Fail(error_kind::invalid_request,
                "load digest: unknown role " + std::to_string(wire->role));
  }
  load_digest message;
  message.host = wire->host;
  message.address = wire->address;
  message.zone = wire->zone;
  message.role = static_cast<host_role>(wire->role);
  message.incarnation = wire->incarnation;
  message.sequence = wire->sequence;
  message.draining = wire->draining;
  message.configuration_revision = wire->configuration_revision;
  message.backend_revision = wire->backend_revision;
  message.loads =
      ConvertList(wire->loads, [](const thrift_wire::BackendLoad& entry) {
        return backend_load{entry.backend, entry.online, entry.batch};
      });
  message.uses =
      ConvertList(wire->uses, [](const thrift_wire::AccountUse& entry) {
        return account_use{entry.account, entry.admitted};
      });
  message.backlogs =
      ConvertList(wire->backlogs, [](const thrift_wire::Backlog& entry) {
        return batch_backlog{entry.account, entry.route, entry.tokens};
      });
  message.store_contact_age = ToAge(wire->store_contact_age_ms);
  message.crashes = ConvertList(wire->crashes, FromWire);
  message.verdicts =
      ConvertList(wire->verdicts, [](const thrift_wire::CrashVerdict& entry) {
        return crash_verdict{static_cast<std::uint64_t>(entry.fingerprint),
                             entry.refused, ReadAge(entry.age_ms),
                             entry.trials};
      });
  message.departures =
      ConvertList(wire->departures, [](const thrift_wire::Departure& entry) {
        return departure_report{entry.backend, entry.address,
                                entry.started_unix_ms, entry.revision,
                                ReadAge(entry.age_ms)};
      });
  message.cold_servers =
      ConvertList(wire->cold_servers, [](const thrift_wire::ColdServer& entry) {
        return cold_report{entry.backend, entry.started_unix_ms,
                           ReadAge(entry.remaining_ms)};
      });
  message.partial_uses = wire->partial_uses;
  message.evacuated_zones = wire->evacuated_zones;
  message.evacuation_revision = wire->evacuation_revision;
  message.speeds =
      ConvertList(wire->speeds, [](const thrift_wire::BackendSpeed& entry) {
        return speed_report{entry.backend, entry.started_unix_ms,
                            entry.thousandths / kThousand, entry.observations};
      });
  return message;
}

std::string Encode(const inventory_snapshot& message) {
  thrift_wire::InventorySnapshot wire;
  wire.configuration_revision = message.configuration_revision;
  wire.configuration = message.configuration;
  wire.backend_revision = message.backend_revision;
  wire.backends = ConvertList(message.backends, [](const inventory_record& r) {
    thrift_wire::InventoryRecord entry;
    entry.name = r.name;
    entry.value = r.value;
    entry.revision = r.revision;
    return entry;
  });
  wire.store_contact_age_ms = FromAge(message.store_contact_age);
  if (message.backends_since) {
    wire.__set_backends_since(*message.backends_since);
    wire.__set_removed_backends(message.removed_backends);
  }
  return Serialize(wire);
}

template <>
result<inventory_snapshot> Decode(std::string_view bytes) {
  return internal::Deserialize<thrift_wire::InventorySnapshot>(
             bytes, kMaxSnapshotBytes)
      .map([](const thrift_wire::InventorySnapshot& wire) {
        inventory_snapshot message;
        message.configuration_revision = wire.configuration_revision;
        message.configuration = wire.configuration;
        message.backend_revision = wire.backend_revision;
        message.backends = ConvertList(
            wire.backends, [](const thrift_wire::InventoryRecord& entry) {
              return inventory_record{entry.name, entry.value, entry.revision};
            });
        message.store_contact_age = ToAge(wire.store_contact_age_ms);
        if (wire.__isset.backends_since) {
          message.backends_since = wire.backends_since;
          message.removed_backends = wire.removed_backends;
        }
        return message;
      });
}

std::string Encode(const job_page_request& message) {
  thrift_wire::JobPageRequest wire;
  wire.job = message.job;
  wire.account = message.account;
  wire.after = message.after;
  wire.wait_ms = message.wait.count();
  return Serialize(wire);
}

template <>
result<job_page_request> Decode(std::string_view bytes) {
  return internal::Deserialize<thrift_wire::JobPageRequest>(bytes,
                                                            kMaxDigestBytes)
      .map([](const thrift_wire::JobPageRequest& wire) {
        return job_page_request{wire.job, wire.account, wire.after,
                                std::chrono::milliseconds(wire.wait_ms)};
      });
}

std::string Encode(const job_page& message) {
  thrift_wire::JobPage wire;
  wire.state = static_cast<std::int32_t>(message.state);
  wire.total = message.total;
  wire.results = ConvertList(message.results, [](const job_item_result& r) {
    thrift_wire::JobItemResult entry;
    entry.item = r.item;
    entry.completed = r.completed;
    entry.text = r.text;
    return entry;
  });
  return Serialize(wire);
}

template <>
result<job_page> Decode(std::string_view bytes) {
  const auto wire =
      internal::Deserialize<thrift_wire::JobPage>(bytes, kMaxPageBytes);
  if (!wire) {
    return Fail(wire.error());
  }
  job_page page;
  page.state = wire->state == static_cast<std::int32_t>(job_page_state::known)
                   ? job_page_state::known
                   : job_page_state::not_owner;
  page.total = wire->total;
  page.results =
      ConvertList(wire->results, [](const thrift_wire::JobItemResult& entry) {
        return job_item_result{entry.item, entry.completed, entry.text};
      });
  return page;
}

std::string Encode(const store_call& message) {
  thrift_wire::StoreCall wire;
  wire.operation = static_cast<std::int32_t>(message.operation);
  wire.kind = message.kind;
  wire.name = message.name;
  wire.value = message.value;
  wire.revision = message.revision;
  return Serialize(wire);
}

template <>
result<store_call> Decode(std::string_view bytes) {
  const auto wire =
      internal::Deserialize<thrift_wire::StoreCall>(bytes, kMaxPageBytes);
  if (!wire) {
    return Fail(wire.error());
  }
  if (wire->operation < static_cast<std::int32_t>(store_operation::get) ||
      wire->operation >
          static_cast<std::int32_t>(store_operation::set_status)) {
    return Fail(
        error_kind::invalid_request,
        "store call: unknown operation " + std::to_string(wire->operation));
  }
  return store_call{static_cast<store_operation>(wire->operation), wire->kind,
                    wire->name, wire->value, wire->revision};
}

std::string Encode(const store_reply& message) {
  thrift_wire::StoreReply wire;
  wire.failure = message.failure;
  wire.ran = message.ran;
  wire.reason = message.reason;
  wire.found = message.found;
  wire.value = message.value;
  wire.revision = message.revision;
  return Serialize(wire);
}

template <>
result<store_reply> Decode(std::string_view bytes) {
  return internal::Deserialize<thrift_wire::StoreReply>(bytes, kMaxPageBytes)
      .map([](const thrift_wire::StoreReply& wire) {
        return store_reply{wire.failure, wire.ran,   wire.reason,
                           wire.found,   wire.value, wire.revision};
      });
}

}  // namespace cardamomyard
