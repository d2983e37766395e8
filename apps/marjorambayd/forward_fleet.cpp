/// The fleet: heartbeats to hubs, digests of the hubs, and messages between
/// hosts.
#include "forward_host.h"

#include "marjorambay/coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marjorambay {

namespace {

constexpr Duration BeatInterval = milliseconds(250);
/// Interval at which a host checks whether an early heartbeat is due.
constexpr Duration EarlyBeatCheck = milliseconds(50);
/// A hub that has not answered for this long is skipped; that is two lost
/// heartbeats.
constexpr Duration AnswerPatience = milliseconds(700);
/// A host that was not heard from for this long may still serve callers behind
/// a network partition.
constexpr Duration HeardPatience = milliseconds(1500);
/// Number of hubs. Any of them may fail at once without an effect on the
/// others.
constexpr std::size_t HubCount = 3;
constexpr std::uint64_t HubKey = 0x6d61726a6f72616d;

struct HubCandidate {
  HostId Id{};
  int Class = 0; ///< capacity class: hosts within a factor of two are equal
  std::uint64_t Weight = 0;
  bool operator<(const HubCandidate &Other) const {
    return std::tie(Class, Weight) > std::tie(Other.Class, Other.Weight);
  }
};

HubCandidate candidate(HostId Id, double Strength) {
  return {Id, std::ilogb(std::max(1e-3, Strength)),
          rendezvousWeight(Id, HubKey)};
}

/// Whether a host has reported recently that it is draining. The report must
/// expire: a draining host sends heartbeats to another set of hubs than before,
/// and once it has restarted, this host no longer receives any that would clear
/// the report.
bool draining(const ForwardPeer &Peer, TimePoint Now) {
  return Peer.DrainingAt != TimePoint{} &&
         Now - Peer.DrainingAt < AnswerPatience;
}

/// Returns the hubs, best first. They are ordered by capacity, because a weak
/// hub would slow down the entire fleet.
std::vector<HostId> hubs(const ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  std::vector<HubCandidate> All;
  if (!H.Draining)
    All.push_back(candidate(H.Self.Id, relativeCapacity(H.Settings)));
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.Listed && !draining(Peer, Now))
      All.push_back(candidate(Id, Peer.Capacity));
  const std::size_t Count = std::min(HubCount, All.size());
  std::partial_sort(All.begin(), All.begin() + static_cast<long>(Count),
                    All.end());
  std::vector<HostId> Best;
  for (std::size_t Place = 0; Place < Count; ++Place)
    Best.push_back(All[Place].Id);
  return Best;
}

void flushOutgoing(ForwardHost &H) {
  H.FlushDue = false;
  const PeerSender Sender{H.Self.Id, H.Incarnation, H.Self.Address};
  for (auto &[Id, Writer] : H.Outgoing) {
    const auto Peer = H.Fleet.find(Id);
    if (Writer.empty())
      continue;
    const std::string Bytes = Writer.serialize(Sender);
    if (Peer != H.Fleet.end())
      H.Peers.send(Peer->second.Address, Bytes);
  }
}

FleetDigest digestFor(ForwardHost &H, HostId To, std::uint64_t Sequence) {
  FleetDigest Digest;
  Digest.Sequence = Sequence;
  Digest.Ready = isReady(H);
  Digest.Decisions = ordersHere(H);
  Digest.FeedRevisions = positions(H);
  Digest.WatchHealthy = watchesWithAnswers(H);
  if (!H.Table)
    return Digest;
  Digest.ConfigVersion = H.Table->version();
  Digest.AccountLevels = H.Ledger.levels(To, *H.Table, H.Loop.now());
  return Digest;
}

void takeDigestHere(ForwardHost &H, const FleetDigest &Digest) {
  const TimePoint Now = H.Loop.now();
  for (const AccountLevel &Level : Digest.AccountLevels)
    H.Meter.updateLevel(Level, Now);
  for (const VersionDecision &Order : Digest.Decisions)
    learnOrder(H, Order);
}

/// Decides whether this host watches the platform or follows hubs that do.
void reviewSource(ForwardHost &H, const std::vector<HostId> &Hubs) {
  chooseSource(H, std::find(Hubs.begin(), Hubs.end(), H.Self.Id) != Hubs.end());
}

/// Returns the fraction of the listed hosts that were heard from recently,
/// including this one.
double reach(const ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  std::size_t Listed = 1;
  std::size_t Heard = 1;
  for (const auto &[Id, Peer] : H.Fleet) {
    if (!Peer.Listed)
      continue;
    ++Listed;
    Heard += Peer.HeardAt != TimePoint{} && Now - Peer.HeardAt < HeardPatience
                 ? 1
                 : 0;
  }
  return static_cast<double>(Heard) / static_cast<double>(Listed);
}

void receive(ForwardHost &H, const PeerSender &From,
             const FleetHeartbeat &Beat) {
  ForwardPeer &Peer = H.Fleet[From.Id];
  if (Beat.Draining)
    Peer.DrainingAt = H.Loop.now();
  if (H.Table)
    H.Ledger.recordUsage(From.Id, From.Incarnation, Beat.AccountUsages,
                         *H.Table, H.Loop.now());
  Peer.BeatAt = H.Loop.now();
  sendTo(H, From.Id, digestFor(H, From.Id, Beat.Sequence));
}

void receive(ForwardHost &H, const PeerSender &From,
             const FleetDigest &Digest) {
  if (Digest.Ready)
    H.Fleet[From.Id].AnsweredAt = H.Loop.now();
  H.Fleet[From.Id].FreshAt = Digest.WatchHealthy ? H.Loop.now() : TimePoint{};
  takeDigestHere(H, Digest);
  followHub(H, From.Id, Digest);
  if (H.Watching)
    reviewSource(H, hubs(H));
}

void receive(ForwardHost &H, const PeerSender &, const ArbiterMessage &Said) {
  // Only reservations and reports of grants create an arbiter; other messages
  // need an existing one.
  const bool Asks = std::holds_alternative<SlotRequested>(Said.Event) ||
                    std::holds_alternative<GrantsReported>(Said.Event);
  if (isReady(H) && (Asks || H.Pools[Said.Pool].Whole))
    toArbiter(H, Said.Pool, Said.Event);
}

void receive(ForwardHost &H, const PeerSender &, const OriginMessage &Said) {
  fromArbiter(H, Said.Pool, Said.Action);
}

void receive(ForwardHost &H, const PeerSender &From,
             const ReservationQueued &Queued) {
  const auto Slot = H.BySlot.find(Queued.Key.Id);
  ForwardCall *Call =
      Slot == H.BySlot.end() ? nullptr : callOf(H, Slot->second);
  if (Call != nullptr && Call->Arbiter == From.Id &&
      Queued.Key.OriginIncarnation == H.Incarnation)
    Call->Acknowledged = true;
}

void receive(ForwardHost &H, const PeerSender &, const EvidenceArrived &Seen) {
  takeEvidence(H, Seen);
}

/// Ignores messages of the daemon's other mode of operation.
template <typename OtherMessage>
void receive(ForwardHost &, const PeerSender &, const OtherMessage &) {}

void envelopeArrived(ForwardHost &H, std::string_view Bytes) {
  const Result<ReceivedEnvelope> Read = parseEnvelope(Bytes);
  if (!ok(Read)) {
    LogLine("peer_message_malformed", LogLevel::Warning)
        .with("bytes", static_cast<std::int64_t>(Bytes.size()));
    return;
  }
  const PeerSender &From = value(Read).Sender;
  const Result<SocketAddress> Address = parseAddress(From.Address);
  if (!ok(Address) || From.Id == H.Self.Id)
    return;
  ForwardPeer &Peer = H.Fleet[From.Id];
  if (From.Incarnation < Peer.Incarnation)
    return; // sent by an earlier incarnation
  if (From.Incarnation > Peer.Incarnation && !H.Pools.empty() &&
      number(Peer.Incarnation) != 0) {
    const IncarnationId Gone = Peer.Incarnation;
    for (auto &[Pool, Held] : H.Pools)
      if (Held.Whole)
        toArbiter(H, Pool, OriginLost{From.Id, Gone});
  }
  Peer.Incarnation = From.Incarnation;
  Peer.Host.Id = From.Id;
  Peer.Address = value(Address);
  Peer.HeardAt = H.Loop.now();
  for (const PeerMessage &Message : value(Read).Messages)
    std::visit([&](const auto &Known) { receive(H, From, Known); }, Message);
}

void beat(ForwardHost &H) {
  FleetHeartbeat Beat;
  Beat.Sender = H.Self;
  Beat.Sequence = ++H.BeatSequence;
  Beat.ConfigVersion = H.Table ? H.Table->version() : 0;
  Beat.Draining = H.Draining;
  Beat.AccountUsages = H.Meter.collectUsage();
  H.Ledger.setReachableFraction(reach(H));
  const std::vector<HostId> Hubs = hubs(H);
  reviewSource(H, Hubs);
  for (const HostId Hub : Hubs) {
    if (Hub != H.Self.Id) {
      sendTo(H, Hub, Beat);
      continue;
    }
    if (!H.Table)
      continue;
    H.Ledger.recordUsage(H.Self.Id, H.Incarnation, Beat.AccountUsages, *H.Table,
                         H.Loop.now());
    takeDigestHere(H, digestFor(H, H.Self.Id, Beat.Sequence));
  }
}

/// Sends a heartbeat early if much usage was admitted since the last one: other
/// hosts admit against a level that does not include it yet.
void beatIfDue(ForwardHost &H) {
  if (H.Table == nullptr || !H.Meter.reportDue(*H.Table, fleetSize(H)))
    return;
  beat(H);
}

} // namespace

Result<Done> startFleet(ForwardHost &H) {
  const Result<SocketAddress> Address = parseAddress(H.Settings.PeerAddress);
  if (!ok(Address))
    return error(Address);
  Result<Done> Bound = H.Peers.bind(value(Address));
  if (!ok(Bound))
    return Bound;
  H.Peers.Received.connect(
      [&H](std::string_view Bytes) { envelopeArrived(H, Bytes); });
  H.Subscriptions.push_back(H.Timers.every(BeatInterval, [&H]() { beat(H); }));
  H.Subscriptions.push_back(
      H.Timers.every(EarlyBeatCheck, [&H]() { beatIfDue(H); }));
  return Done{};
}

std::optional<HostId> arbiterOf(const ForwardHost &H, PoolId Pool) {
  const TimePoint Now = H.Loop.now();
  RendezvousChoice<HostId> Choice(number(Pool));
  for (const HostId Hub : hubs(H)) {
    const auto Peer = H.Fleet.find(Hub);
    const bool Here = Hub == H.Self.Id;
    const bool Answers =
        Here ? isReady(H)
             : Peer->second.AnsweredAt != TimePoint{} &&
                   Now - Peer->second.AnsweredAt < AnswerPatience;
    if (Answers)
      Choice.consider(Hub);
  }
  if (!Choice.found())
    return std::nullopt;
  return Choice.best();
}

std::size_t fleetSize(const ForwardHost &H) {
  std::size_t Size = 1;
  for (const auto &[Id, Peer] : H.Fleet)
    Size += Peer.Listed ? 1 : 0;
  return Size;
}

void sendTo(ForwardHost &H, HostId To, const PeerMessage &Message) {
  H.Outgoing[To].add(Message);
  if (H.FlushDue)
    return;
  H.FlushDue = true;
  H.Loop.defer([&H]() { flushOutgoing(H); });
}

void noticeFollowers(ForwardHost &H) {
  constexpr Duration BeatsLately = seconds(1);
  const TimePoint Now = H.Loop.now();
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.BeatAt != TimePoint{} && Now - Peer.BeatAt < BeatsLately)
      sendTo(H, Id, digestFor(H, Id, 0));
}

double relativeCapacity(const HostSettings &Settings) {
  constexpr double ReferenceShare = 0.25; // of a core
  constexpr double ReferenceMbps = 50;
  return std::min(Settings.CpuShare / ReferenceShare,
                  Settings.LinkMbps / ReferenceMbps);
}

void applyHosts(ForwardHost &H, const std::vector<ListedHost> &Listed) {
  for (auto &[Id, Peer] : H.Fleet)
    Peer.Listed = false;
  for (const ListedHost &Each : Listed) {
    const Result<SocketAddress> Address = parseAddress(Each.Host.Address);
    if (Each.Host.Id == H.Self.Id || !ok(Address))
      continue;
    ForwardPeer &Peer = H.Fleet[Each.Host.Id];
    Peer.Host = Each.Host;
    Peer.Capacity = Each.Capacity;
    Peer.Listed = true;
    if (Peer.HeardAt == TimePoint{})
      Peer.Address = value(Address);
  }
  shareRepeats(H);
  reviewSource(H, hubs(H));
}

} // namespace marjorambay
