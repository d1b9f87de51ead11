#include "src/node/entry/peer_exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "cardamomyard/telemetry.h"
#include "src/node/control_client.h"
#include "src/node/internal_api.h"
#include "src/node/suspect_codec.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace {

using std::chrono::milliseconds;

constexpr part_log kLog("peers");
constexpr milliseconds kDigestInterval{500};
constexpr std::size_t kDigestPeers = 2;
constexpr std::size_t kAnnouncePeers = 4;
constexpr milliseconds kDigestTimeout{1000};
constexpr milliseconds kConfigWatch{20'000};
constexpr milliseconds kPause{1000};
// Evidence (c) needs answers of half of the hosts within the contact window of
// ten digest intervals; an eighth of them in each leaves time for losses.
constexpr std::size_t kRoundsInOutage = 8;
// The store is read again this long before contact would expire.
constexpr milliseconds kContactReserve{2500};
constexpr std::size_t kMaxHostsInDigest = 64;
constexpr std::chrono::seconds kMaxPeerSilence{60};

}  // namespace

peer_exchange::peer_exchange(process_context& context,
                             config_follower& config,
                             cancelled_jobs& cancelled,
                             suspect_registry& suspects)
    : context_(&context),
      config_(&config),
      cancelled_(&cancelled),
      suspects_(&suspects),
      table_(context),
      shares_(context.settings().id,
              context.time(),
              context.settings().contact_window + std::chrono::seconds(1)),
      peers_(context.settings().id,
             static_cast<std::uint64_t>(context.incarnation())),
      monitor_(context.settings().contact_window),
      keeper_(context,
              table_,
              peers_,
              store_,
              [this](const std::string& host) { AskToRemove(host); }),
      gate_(MakeGate()),
      random_(Hash64(context.settings().id,
                     static_cast<std::uint64_t>(context.incarnation()))) {
  for (const host_address& peer : context.settings().peers) {
    unknown_peers_.insert(peer.ToString());
  }
  config.OnChange([this](const config_view& view) {
    shares_.SetConfig(view);
    if (auto* split = std::get_if<fixed_split_gate>(&gate_)) {
      split->SetAccounts(LimitsOf(view.content()));
    }
    AnnounceOnControlThread();
  });
  table_.OnChange([this](const share_table& table, table_origin origin) {
    OnTable(table, origin);
  });
}

std::variant<rate_gate, fixed_split_gate> peer_exchange::MakeGate() {
  using gate_variant = std::variant<rate_gate, fixed_split_gate>;
  const common_settings& settings = context_->settings();
  if (settings.policy == policy_kind::naive) {
    return gate_variant(std::in_place_type<fixed_split_gate>,
                        settings.peers.size() + 1, context_->time());
  }
  return gate_variant(
      std::in_place_type<rate_gate>, shares_.limiter(), context_->time(),
      settings.id,
      [this](std::string home, borrow message, milliseconds timeout) {
        return BorrowFromHome(std::move(home), std::move(message), timeout);
      });
}

void peer_exchange::AddHandlers(internal_server& server) {
  server.AddControl(
      std::string(internal_api::kDigest),
      [this](const http_request& request) { return ServeDigest(request); });
  server.AddControl(
      std::string(internal_api::kBorrow),
      [this](const http_request& request) { return ServeBorrow(request); });
  table_.AddHandlers(server);
}

void peer_exchange::Start() {
  unknown_peers_.erase(context_->advertised().ToString());
  asio::co_spawn(context_->control(), Gossip(), kEndOnException);
  asio::co_spawn(context_->control(), PollStore(), kEndOnException);
  asio::co_spawn(context_->control(), WatchConfig(), kEndOnException);
  asio::co_spawn(context_->control(), keeper_.Run(), kEndOnException);
}

void peer_exchange::OnHostList(const std::vector<listed_host>& hosts) {
  keeper_.OnHostList(hosts);
  listed_.clear();
  for (const listed_host& host : hosts) {
    if (host.role == "entry") {
      peers_.AddKnownHost(host.id, host.address);
      listed_.insert(host.id);
    }
  }
  UpdateKnownPeers();
}

void peer_exchange::Announce() {
  asio::post(context_->control(), [this] { AnnounceOnControlThread(); });
}

asio::awaitable<result<void>> peer_exchange::TakeToken(std::string account) {
  return std::visit(
      [&account](auto& gate) { return gate.Take(std::move(account)); }, gate_);
}

std::optional<error> peer_exchange::Refusal() const {
  if (context_->time().Now() < contact_until_.load()) {
    return std::nullopt;
  }
  return error::Make(error_kind::isolated,
                     "this host has no contact with the rest of the system")
      .WithRetryAfter(kPause);
}

bool peer_exchange::ready() const {
  return config_->view() != nullptr && table_.epoch() > 0;
}

contact_state peer_exchange::State() const {
  return context_->time().Now() < contact_until_.load()
             ? state_.load()
             : contact_state::isolated;
}

peer_digest peer_exchange::MakeDigest() {
  const time_point now = context_->time().Now();
  peer_digest digest;
  digest.host = context_->settings().id;
  digest.address = context_->advertised().ToString();
  digest.incarnation = context_->incarnation();
  digest.generation = static_cast<std::int64_t>(config_->in_force());
  digest.share_epoch = static_cast<std::int64_t>(table_.epoch());
  digest.store_contact_age = store_.Age(now);
  digest.store_unreachable = store_.Unreachable(now);
  digest.cancelled_jobs = cancelled_->PropagatedIds(now);
  digest.suspects = ToMessages(suspects_->Entries());
  for (const entry_host& host : peers_.RandomPeers(kMaxHostsInDigest)) {
    if (host.last_heard > now - kMaxPeerSilence) {
      digest.hosts.push_back({host.id, host.address,
                              std::chrono::ceil<milliseconds>(std::max(
                                  duration(0), now - host.last_heard))});
    }
  }
  return digest;
}

// Merges a digest, apart from its evidence. `base` is not later than the time
// at which the ages in the digest were measured.
bool peer_exchange::MergeDigest(const peer_digest& digest, time_point base) {
  unknown_peers_.erase(digest.address);
  if (!peers_.RecordDigest(digest.host, digest.address,
                           static_cast<std::uint64_t>(digest.incarnation),
                           context_->time().Now())) {
    return false;
  }
  std::map<std::string, entry_host> known;
  for (const entry_host& host : peers_.Peers()) {
    known.emplace(host.id, host);
  }
  for (const peer_host& host : digest.hosts) {
    const auto found = known.find(host.id);
    const time_point heard = base - host.heard_age;
    if (found == known.end()) {
      peers_.AddKnownHost(host.id, host.address);
      peers_.RecordDigest(host.id, host.address, 0, heard);
    } else if (heard > found->second.last_heard) {
      peers_.RecordDigest(host.id, found->second.address,
                          found->second.incarnation, heard);
    }
  }
  for (const std::string& job : digest.cancelled_jobs) {
    cancelled_->Add(job, context_->time().Now());
  }
  suspects_->Merge(FromMessages(digest.suspects));
  shares_.RecordAcknowledgement(digest.host,
                                static_cast<std::uint64_t>(digest.generation),
                                static_cast<std::uint64_t>(digest.share_epoch));
  UpdateKnownPeers();
  return true;
}

asio::awaitable<http_response> peer_exchange::ServeDigest(
    const http_request& request) {
  auto digest = Decode<peer_digest>(request.body);
  if (!digest) {
    co_return ErrorResponse(digest.error(), "");
  }
  const bool taken = MergeDigest(*digest, context_->time().Now());
  const auto address = host_address::Parse(digest->address);
  if (taken && address) {
    asio::co_spawn(
        context_->control(),
        [](peer_exchange* self, host_address with, std::uint64_t generation,
           std::uint64_t epoch) -> asio::awaitable<void> {
          co_await self->CatchUp(std::move(with), generation, epoch);
        }(this, *address, static_cast<std::uint64_t>(digest->generation),
                                static_cast<std::uint64_t>(
                                    digest->share_epoch)),
        kEndOnException);
  }
  peer_digest reply = MakeDigest();
  if (!digest->removal_candidate.empty()) {
    reply.removal_candidate = digest->removal_candidate;
    reply.removal_agreed = AgreeToRemove(digest->removal_candidate);
  }
  // A restarted process has lost its promises and gives no evidence until it
  // has read the table that may have resulted from them.
  reply.no_evidence = !reply.store_contact_age.has_value() ||
                      !monitor_.GivesEvidenceFor(digest->host);
  http_response answer;
  answer.body = Encode(reply);
  co_return answer;
}

asio::awaitable<void> peer_exchange::SendDigest(host_address to,
                                                std::string candidate) {
  peer_digest message = MakeDigest();
  message.removal_candidate = candidate;
  const time_point sent = context_->time().Now();
  auto answer = co_await CallControl<peer_digest>(
      *context_, to, internal_api::kDigest, message, kDigestTimeout);
  if (!answer) {
    co_return;
  }
  if (answer->host == context_->settings().id) {
    unknown_peers_.erase(to.ToString());
    co_return;
  }
  // A peer may advertise another address than the one in the settings.
  unknown_peers_.erase(to.ToString());
  co_await HandleDigestReply(std::move(to), std::move(*answer),
                             std::move(candidate), sent);
}

asio::awaitable<void> peer_exchange::HandleDigestReply(host_address from,
                                                       peer_digest answer,
                                                       std::string candidate,
                                                       time_point sent) {
  if (!MergeDigest(answer, sent)) {
    co_return;
  }
  const auto epoch = static_cast<std::uint64_t>(answer.share_epoch);
  if (answer.removal_agreed && !candidate.empty()) {
    keeper_.RecordAgreement(answer.host, candidate, epoch);
  }
  const bool caught_up_now = co_await CatchUp(
      std::move(from), static_cast<std::uint64_t>(answer.generation), epoch);
  if (!caught_up_now) {
    co_return;
  }
  const bool recent =
      answer.store_contact_age &&
      *answer.store_contact_age <= context_->settings().contact_window;
  if (recent || answer.store_unreachable) {
    attestation statement;
    statement.store_contact_age = answer.store_contact_age;
    statement.store_unreachable = answer.store_unreachable;
    statement.excluded_as_evidence = answer.no_evidence;
    monitor_.RecordAttestation(answer.host, statement, sent);
    if (recent) {
      monitor_.RecordRelayedRead(sent - *answer.store_contact_age);
    }
    UpdateContact();
  }
}

// Returns whether this process is at least at the given generation and epoch.
asio::awaitable<bool> peer_exchange::CatchUp(host_address with,
                                             std::uint64_t generation,
                                             std::uint64_t epoch) {
  if (generation > config_->in_force()) {
    auto caught_up = co_await config_->CatchUp(with, generation);
    if (!caught_up) {
      kLog.Warning(
          "A newer configuration could not be read.",
          {{"peer", with.ToString()}, {"error", caught_up.error().message()}});
    }
  }
  if (epoch > table_.epoch()) {
    auto caught_up = co_await table_.CatchUp(with, epoch);
    if (!caught_up) {
      kLog.Warning(
          "A newer share table could not be read.",
          {{"peer", with.ToString()}, {"error", caught_up.error().message()}});
    }
  }
  co_return generation <= config_->in_force() && epoch <= table_.epoch();
}

void peer_exchange::SendDigests(const std::vector<entry_host>& to,
                                const std::string& candidate) {
  for (const entry_host& peer : to) {
    if (const auto address = host_address::Parse(peer.address)) {
      asio::co_spawn(context_->control(), SendDigest(*address, candidate),
                     kEndOnException);
    }
  }
}

void peer_exchange::SendToUnknownPeers() {
  for (const std::string& name : unknown_peers_) {
    if (const auto address = host_address::Parse(name)) {
      asio::co_spawn(context_->control(), SendDigest(*address, ""),
                     kEndOnException);
    }
  }
}

void peer_exchange::AnnounceOnControlThread() {
  SendDigests(peers_.RandomPeers(kAnnouncePeers), "");
}

asio::awaitable<void> peer_exchange::Gossip() {
  while (true) {
    const std::size_t count = peers_.Peers().size();
    std::size_t chosen = kDigestPeers;
    if (store_.Stale(context_->time().Now())) {
      chosen = std::max(chosen, (count / kRoundsInOutage) + 1);
    }
    SendToUnknownPeers();
    SendDigests(peers_.RandomPeers(chosen), "");
    UpdateContact();
    RemoveSilentHosts();
    const auto jitter = std::uniform_int_distribution<int>(-50, 50)(random_);
    co_await SleepFor(kDigestInterval + milliseconds(jitter));
  }
}

void peer_exchange::RemoveSilentHosts() {
  const auto& hosts = table_.table().hosts;
  const time_point now = context_->time().Now();
  for (const entry_host& peer : peers_.Peers()) {
    const bool silent = peer.last_heard < now - kMaxPeerSilence;
    if (silent && !listed_.contains(peer.id) &&
        std::ranges::find(hosts, peer.id) == hosts.end()) {
      peers_.Remove(peer.id);
    }
  }
}

asio::awaitable<void> peer_exchange::PollStore() {
  while (true) {
    const time_point started = context_->time().Now();
    store_.RecordAttempt(started);
    auto config_read = co_await config_->ReadStore();
    auto table_read = co_await table_.ReadStore();
    if (config_read && table_read) {
      store_.RecordSuccess(*config_read);
      monitor_.RecordStoreRead(*config_read);
    } else {
      store_.RecordFailure();
    }
    UpdateContact();
    // Limits all hosts together to 100 reads of head and table a second.
    const auto hosts = static_cast<int>(peers_.Peers().size()) + 1;
    const auto jitter = std::uniform_int_distribution<int>(-10, 10)(random_);
    const milliseconds period =
        std::max(kPause, milliseconds(10 * hosts)) * (100 + jitter) / 100;
    time_point now = context_->time().Now();
    do {
      // Sleeping only whole pauses would round a period of 1.1 s up to 2 s.
      co_await SleepFor(std::min<duration>(started + period - now, kPause));
      now = context_->time().Now();
    } while (now - started < period &&
             contact_until_.load() > now + kContactReserve);
  }
}

asio::awaitable<void> peer_exchange::WatchConfig() {
  const std::string& self = context_->settings().id;
  while (true) {
    const std::vector<std::string> watchers = peers_.ConfigWatchers(
        context_->settings().contact_window, context_->time().Now());
    if (std::ranges::find(watchers, self) == watchers.end()) {
      co_await SleepFor(kPause);
      continue;
    }
    auto watched = co_await config_->WatchStore(kConfigWatch);
    if (!watched) {
      co_await SleepFor(kPause);
    }
  }
}

std::vector<peer_host> peer_exchange::KnownHosts() const {
  std::vector<peer_host> hosts;
  if (const auto addresses = addresses_.Get()) {
    for (const auto& [id, address] : *addresses) {
      hosts.push_back({.id = id, .address = address});
    }
  }
  return hosts;
}

}  // namespace cardamomyard
