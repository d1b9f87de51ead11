#include "src/gateway/host_runtime.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "src/gateway/internal_paths.h"

namespace cardamomyard {
namespace asio = boost::asio;

namespace {

// A watch delivers a change to all hosts within some milliseconds. At this
// interval a host fetches the inventory of a peer that has newer revisions.
constexpr std::chrono::milliseconds kCatchUpPeriod{300};
// A watch whose events were lost in the store shows this only when its wait
// ends. A few hosts use short waits, and the other hosts get the changes from
// them; their own watches may therefore be late and cost the store less.
constexpr std::size_t kShortWatchHosts = 2;
constexpr std::chrono::milliseconds kShortWatchWait{900};
constexpr std::chrono::milliseconds kLongWatchWait{8000};
constexpr std::chrono::milliseconds kPeerTimeout{500};
// How often servers that are no longer usable are removed from the pool.
constexpr std::chrono::milliseconds kRefreshPeriod{200};
constexpr std::size_t kMaxStoreCallBytes = 8U << 20U;
// Hosts also learn of each other from digests, so this watch may be slow.
constexpr std::chrono::milliseconds kHostWatchPause{500};
constexpr std::chrono::milliseconds kInitialRetryDelay{100};
constexpr std::chrono::milliseconds kMaxRetryDelay{2000};

constexpr std::string_view kGatewayPrefix = "gateway ";
constexpr std::string_view kWorkerPrefix = "worker ";

/// \returns a host's record in the store: its role and its internal address.
std::string EncodeHost(const host_address& address, host_role role) {
  return std::string(role == host_role::gateway ? kGatewayPrefix
                                                : kWorkerPrefix) +
         address.ToString();
}

result<host_entry> DecodeHost(const store_record& record) {
  std::string_view text = record.value;
  host_role role = host_role::gateway;
  if (text.starts_with(kGatewayPrefix)) {
    text.remove_prefix(kGatewayPrefix.size());
  } else if (text.starts_with(kWorkerPrefix)) {
    text.remove_prefix(kWorkerPrefix.size());
    role = host_role::worker;
  } else {
    return Fail(error_kind::internal,
                "unknown role in \"" + record.value + "\"");
  }
  const result<host_address> address = host_address::Parse(text);
  if (!address) {
    return Fail(address.error());
  }
  return host_entry{record.name, *address, role};
}

/// \returns the revision in a header; 0 when there is none.
std::uint64_t ReadRevision(const header_list& headers, std::string_view name) {
  const std::string text = headers.Get(name).value_or("");
  std::uint64_t revision = 0;
  const auto [end, status] =
      std::from_chars(text.data(), text.data() + text.size(), revision);
  return status == std::errc() && end == text.data() + text.size() ? revision
                                                                   : 0;
}

}  // namespace

result<std::unique_ptr<host_runtime>> host_runtime::Create(
    host_settings settings,
    host_role role,
    platform_services services,
    role_callbacks callbacks) {
  std::unique_ptr<host_runtime> runtime(new host_runtime(
      std::move(settings), role, std::move(services), std::move(callbacks)));
  if (result<void> opened = runtime->Open(); !opened) {
    return Fail(opened.error());
  }
  return runtime;
}

host_runtime::host_runtime(host_settings settings,
                           host_role role,
                           platform_services services,
                           role_callbacks callbacks)
    : settings_(std::move(settings)),
      role_(role),
      services_(std::move(services)),
      callbacks_(std::move(callbacks)),
      incarnation_(std::chrono::duration_cast<std::chrono::milliseconds>(
                       clock_.WallNow().time_since_epoch())
                       .count()),
      peers_(settings_.name),
      crashes_(settings_.name, [this] { return LiveGateways(); }),
      resources_(server_resources::Make(CompleteLimits(settings_.machine))) {}

host_runtime::~host_runtime() {
  control_.Stop();
  traffic_.Stop();
}

asio::any_io_executor host_runtime::traffic() {
  return traffic_.At(0).get_executor();
}

asio::any_io_executor host_runtime::control() {
  return control_.At(0).get_executor();
}

result<void> host_runtime::Open() {
  auto client = http_client::Create();
  if (!client) {
    return Fail(client.error());
  }
  http_ = std::move(*client);
  store_ = std::make_unique<relayed_store>(std::move(services_.store), clock_,
                                           *http_);
  jobs_ = std::make_unique<job_store>(*store_, clock_);
  inventory_ = std::make_unique<inventory>(
      *store_, *services_.codec, clock_, settings_.bounds.backend_drain,
      traffic(), control(),
      inventory::event_callbacks{
          [this](std::shared_ptr<const service_map> next) {
            digests().NotifyChanged();
            callbacks_.on_configuration(std::move(next));
          },
          [this] { UpdateBackendsSoon(); },
          [this] {
            UpdateBackends();
            digests().NotifyChanged();
            metrics_.Gauge("cardamomyard_evacuated_zones")
                .Set(static_cast<std::int64_t>(
                    current_inventory().evacuations().zones().size()));
          }});
  if (settings_.bounds.evacuates_zones) {
    inventory_->FollowEvacuations();
  }
  if (settings_.bounds.cold_servers) {
    inventory_->backends().LimitColdServers();
    if (role_ == host_role::gateway) {
      cold_.emplace(settings_.name, *settings_.bounds.cold_servers);
    }
  }
  auto digests = gossip::Create(
      traffic_.At(0), settings_.internal_listen, settings_.seeds, peers_,
      clock_,
      gossip::event_callbacks{
          [this](load_digest& digest) { FillDigest(digest); },
          [this](const load_digest& digest) { OnDigest(digest); },
          [this](const std::string& peer) {
            pool_.RemovePeer(peer);
            speeds_.RemovePeer(peer);
            callbacks_.on_peer_silent(peer);
          }});
  if (!digests) {
    return Fail(digests.error());
  }
  gossip_ = std::move(*digests);
  crash_monitor_ = std::make_unique<crash_monitor>(
      traffic(), metrics_,
      [this](const backend_entry& backend,
             const std::vector<crash_suspect>& suspects) {
        crashes_.RecordCrash(backend.id, suspects, clock_.Now());
        gossip_->NotifyChanged();
      });
  http_server_options options;
  options.listen = settings_.internal_listen;
  options.resources = resources_;
  auto server = http_server::Create(
      options, traffic_,
      [this](http_exchange& exchange) { return HandleInternal(exchange); });
  if (!server) {
    return Fail(server.error());
  }
  internal_server_ = std::move(*server);
  if (settings_.metrics_listen) {
    options.listen = *settings_.metrics_listen;
    auto metrics = http_server::Create(
        options, traffic_,
        [this](http_exchange& exchange) { return HandleMetrics(exchange); });
    if (!metrics) {
      return Fail(metrics.error());
    }
    metrics_server_ = std::move(*metrics);
  }
  return {};
}

void host_runtime::Start() {
  log_.Info("The host starts.",
            {{"role", role_ == host_role::gateway ? "gateway" : "worker"},
             {"zone", settings_.zone},
             {"internal", settings_.internal_listen.ToString()},
             {"incarnation", incarnation_},
             {"first_start", settings_.first_start ? "yes" : "no"}});
  internal_server_->Start();
  if (metrics_server_) {
    metrics_server_->Start();
  }
  inventory_->Start();
  gossip_->Start();
  FollowHosts();
  asio::co_spawn(control(), Register(), kEndOnException);
  asio::co_spawn(traffic(), RunCatchUpLoop(), kEndOnException);
  asio::co_spawn(traffic(), RunRefreshLoop(), kEndOnException);
}

void host_runtime::StartDraining() {
  draining_ = true;
  if (cold_) {
    cold_->Withdraw();
  }
  gossip_->NotifyChanged();
}

void host_runtime::RecordStart(const std::string& backend, work_class work) {
  pool_.RecordStart(backend, work);
  gossip_->NotifyChanged();
}

void host_runtime::RecordEnd(const std::string& backend, work_class work) {
  pool_.RecordEnd(backend, work);
  gossip_->NotifyChanged();
}

void host_runtime::UpdateBackendsSoon() {
  // A watch reports many changes at once, each in its own call.
  if (!std::exchange(update_pending_, true)) {
    asio::post(traffic(), [this] {
      update_pending_ = false;
      UpdateBackends();
    });
  }
}

void host_runtime::UpdateBackends() {
  backend_directory& directory = current_inventory().backends();
  pool_.SetBackends(directory.Usable(clock_.Now()));
  const leaving_counts counts = directory.CountLeaving();
  if (counts == leaving_) {
    return;
  }
  leaving_ = counts;
  const auto report = [this](std::string_view source, std::size_t count) {
    metrics_
        .Gauge("cardamomyard_leaving_backends",
               {{"source", std::string(source)}})
        .Set(static_cast<std::int64_t>(count));
  };
  report("entry", counts.by_entry);
  report("answer", counts.by_answer);
  report("hosts", counts.by_hosts);
  report("one_host", counts.by_one_host);
}

void host_runtime::FollowHosts() {
  const auto add = [this](const store_record& record) {
    auto entry = DecodeHost(record);
    if (!entry) {
      log_.Warning(
          "The entry of a host cannot be parsed.",
          {{"peer", record.name}, {"reason", entry.error().message()}});
      return;
    }
    asio::post(traffic(), [this, entry = std::move(*entry)]() mutable {
      peers_.Add(std::move(entry), clock_.Now());
      gossip_->NotifyChanged();
    });
  };
  follower_events events;
  events.on_snapshot = [add](const store_snapshot& snapshot) {
    for (const store_record& record : snapshot.records) {
      add(record);
    }
  };
  events.on_changes = [add](const store_changes& answer) {
    // A removed record is ignored: a host that left is detected by the absence
    // of its digests.
    for (const store_change& change : answer.changes) {
      if (!change.removed) {
        add(change.record);
      }
    }
  };
  events.on_contact = [](bool) {};
  host_follower_ = std::make_unique<object_follower>(*store_, clock_, kHostKind,
                                                     std::move(events));
  host_follower_->SetPause(kHostWatchPause);
  host_follower_->SetWatch(kLongWatchWait, read_freshness::may_be_stale);
  asio::co_spawn(control(), host_follower_->Run(), kEndOnException);
}

asio::awaitable<void> host_runtime::Register() {
  backoff delay(kInitialRetryDelay, kMaxRetryDelay, Hash64(settings_.name));
  const std::string value = EncodeHost(settings_.internal_listen, role_);
  while (true) {
    result<store_record> written =
        co_await store().Create(kHostKind, settings_.name, value);
    if (!written && written.error().kind() == error_kind::conflict) {
      const auto existing = co_await store().Get(kHostKind, settings_.name);
      if (existing && *existing) {
        if ((*existing)->value == value) {
          co_return;
        }
        written = co_await store().Replace(kHostKind, settings_.name, value,
                                           (*existing)->revision);
      }
    }
    if (written) {
      log_.Info("The host is registered.", {{"revision", written->revision}});
      co_return;
    }
    co_await SleepFor(delay.Next());
  }
}

asio::awaitable<void> host_runtime::RunCatchUpLoop() {
  std::string failed_peer;
  while (true) {
    co_await SleepFor(kCatchUpPeriod);
    inventory_revisions own;
    if (current_inventory().configuration()) {
      own.configuration = static_cast<std::int64_t>(
          current_inventory().configuration()->revision());
    }
    own.backends =
        static_cast<std::int64_t>(current_inventory().known_backend_revision());
    const peer_state* newest =
        ChooseNewestPeer(peers_, own, failed_peer, clock_.Now());
    if (newest == nullptr) {
      continue;
    }
    const peer_state& peer = *newest;
    const std::string name = peer.host.name;
    failed_peer = name;
    call_options options;
    options.connect_timeout = kPeerTimeout;
    options.head_timeout = kPeerTimeout;
    options.idle_timeout = kPeerTimeout;
    options.reuse_connection = true;
    http_request request;
    request.target = kInventoryPath;
    request.headers.Set(kConfigurationSince, std::to_string(own.configuration));
    if (current_inventory().backends_listed()) {
      request.headers.Set(kBackendsSince, std::to_string(own.backends));
    }
    const auto response =
        co_await http_->Fetch(peer.host.address, request, options);
    if (!response || response->status != 200) {
      log_.Warning(
          "A peer did not return its inventory.",
          {{"peer", name},
           {"reason", response ? "status " + std::to_string(response->status)
                               : response.error().message()}});
      continue;
    }
    const auto snapshot = Decode<inventory_snapshot>(response->body);
    if (!snapshot) {
      log_.Warning("The inventory of a peer cannot be parsed.",
                   {{"peer", name}, {"reason", snapshot.error().message()}});
      continue;
    }
    failed_peer.clear();
    current_inventory().Adopt(*snapshot, name);
  }
}

asio::awaitable<void> host_runtime::RunRefreshLoop() {
  while (true) {
    co_await SleepFor(kRefreshPeriod);
    current_inventory().backends().departures().KeepClaimsOf(
        [this](const std::string& host) {
          return host == settings_.name || peers_.Find(host) != nullptr;
        });
    // With thousands of servers this costs milliseconds, and mostly nothing has
    // changed. Once more after a time has passed, such as that of a cold
    // server.
    const bool changes =
        current_inventory().backends().ChangesWithTime(clock_.Now());
    if (std::exchange(backends_change_, changes) || changes) {
      UpdateBackends();
    }
    UpdateStorePeers();
    ReportResources();
    UpdateColdLimit();
    UpdateSpeeds();
    if (UsesShortWatches()) {
      current_inventory().SetWatch(kShortWatchWait,
                                   read_freshness::linearizable);
    } else {
      // A host that may have to refuse keys without current information needs
      // to know how old its own is.
      current_inventory().SetWatch(kLongWatchWait,
                                   settings_.bounds.key_revocation_bound
                                       ? read_freshness::linearizable
                                       : read_freshness::may_be_stale);
    }
  }
}

void host_runtime::ReportResources() {
  const resource_counts counts = resources_->counts();
  if (counts == reported_resources_) {
    return;
  }
  log_.Warning(
      "Clients were turned away to save memory or connections.",
      {{"held_bytes", resources_->held()},
       {"limit_bytes", resources_->memory_limit()},
       {"max_connections", resources_->max_connections(client_kind::callers)},
       {"closed_for_memory", counts.closed_for_memory},
       {"closed_for_connections", counts.closed_for_connections},
       {"refused_bodies", counts.refused_bodies},
       {"refused_connections", counts.refused_connections}});
  reported_resources_ = counts;
}

void host_runtime::UpdateStorePeers() {
  std::vector<host_address> reachable_peers;
  for (const host_role role : {host_role::worker, host_role::gateway}) {
    for (const peer_state* peer : peers_.LivePeers(role, clock_.Now())) {
      if (peer->digest.store_contact_age == std::chrono::milliseconds(0)) {
        reachable_peers.push_back(peer->host.address);
      }
    }
  }
  store_->SetPeers(std::move(reachable_peers));
}

bool host_runtime::UsesShortWatches() const {
  std::vector<std::string> names{settings_.name};
  for (const host_role role : {host_role::gateway, host_role::worker}) {
    for (const peer_state* peer : peers_.LivePeers(role, clock_.Now())) {
      // A peer without store contact detects no changes for the others.
      if (peer->digest.store_contact_age == std::chrono::milliseconds(0)) {
        names.push_back(peer->host.name);
      }
    }
  }
  const auto chosen = RendezvousTop(names, "short watches", kShortWatchHosts);
  return std::find(chosen.begin(), chosen.end(), settings_.name) !=
         chosen.end();
}

std::vector<std::string> host_runtime::LiveGateways() const {
  std::vector<std::string> names;
  if (role_ == host_role::gateway && !draining_) {
    names.push_back(settings_.name);
  }
  for (const peer_state* peer :
       peers_.LivePeers(host_role::gateway, clock_.Now())) {
    names.push_back(peer->host.name);
  }
  return names;
}

asio::awaitable<void> host_runtime::HandleInternal(http_exchange& exchange) {
  const std::string& target = exchange.request().target;
  if (target == kInventoryPath) {
    http_response response;
    const header_list& asked = exchange.request().headers;
    response.body = Encode(
        current_inventory().Snapshot(ReadRevision(asked, kConfigurationSince),
                                     ReadRevision(asked, kBackendsSince)));
    co_await exchange.Send(std::move(response));
    co_return;
  }
  if (target == kStorePath) {
    const auto body = co_await exchange.ReadBody(kMaxStoreCallBytes);
    const auto call = body ? Decode<store_call>(*body)
                           : result<store_call>(Fail(body.error()));
    if (!call) {
      co_await exchange.Send(ErrorResponse(call.error(), ""));
      co_return;
    }
    http_response response;
    response.body = Encode(co_await store_->Serve(*call));
    co_await exchange.Send(std::move(response));
    co_return;
  }
  if (target == kMetricsPath) {
    co_await HandleMetrics(exchange);
    co_return;
  }
  co_await callbacks_.on_internal(exchange);
}

asio::awaitable<void> host_runtime::HandleMetrics(http_exchange& exchange) {
  if (exchange.request().target != kMetricsPath) {
    co_await exchange.Send(ErrorResponse(
        error::Make(error_kind::not_found, "only /metrics is served here"),
        ""));
    co_return;
  }
  for (const auto& [name, value] : resources_->Figures()) {
    metrics_.Gauge(name).Set(value);
  }
  http_response response;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.body = metrics_.Expose();
  co_await exchange.Send(std::move(response));
}

}  // namespace cardamomyard
