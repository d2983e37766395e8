/// The fleet: heartbeats to hubs, digests of the hubs, and messages between
/// hosts.
#include "forward_host.h"

#include "marjorambay/coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marjorambay {

namespace {

constexpr Duration HeartbeatInterval = milliseconds(250);
/// Interval at which a host checks whether an early heartbeat is due.
constexpr Duration EarlyHeartbeatCheck = milliseconds(50);
/// A hub that has not answered for this long is skipped; that is two lost
/// heartbeats.
constexpr Duration HubTimeout = milliseconds(700);
/// A host that was not heard from for this long may still serve callers behind
/// a network partition.
constexpr Duration HostTimeout = milliseconds(1500);
/// Time after a pause for the other hosts' responses to a heartbeat, and for
/// their reports of usage.
constexpr Duration ResumeTime = milliseconds(400);
/// Number of hubs. Any of them may fail at once without an effect on the
/// others.
constexpr std::size_t HubCount = 3;
/// What a heartbeat repeats of the limits that are known.
constexpr std::size_t RepeatedLimitNotices = 4;
/// What a heartbeat and a digest repeat of the targets that are cold.
constexpr std::size_t RepeatedWarmupNotices = 4;
constexpr std::size_t WarmupNoticesInDigest = 16;
constexpr std::uint64_t HubHashKey = 0x6d61726a6f72616d;

struct HubCandidate {
  HostId Id{};
  /// Capacity class: hosts within a factor of two are equal.
  int CapacityClass = 0;
  std::uint64_t Weight = 0;
  bool operator<(const HubCandidate &Other) const {
    return std::tie(CapacityClass, Weight) >
           std::tie(Other.CapacityClass, Other.Weight);
  }
};

HubCandidate makeCandidate(HostId Id, double Capacity) {
  return {Id, std::ilogb(std::max(1e-3, Capacity)),
          rendezvousWeight(Id, HubHashKey)};
}

/// Whether a host has reported recently that it is draining. The report must
/// expire: a draining host sends heartbeats to another set of hubs than before,
/// and once it has restarted, this host no longer receives any that would clear
/// the report.
bool isDraining(const ForwardPeer &Peer, TimePoint Now) {
  return Peer.DrainingAt != TimePoint{} && Now - Peer.DrainingAt < HubTimeout;
}

/// Returns the hubs, best first. They are ordered by capacity, because a weak
/// hub would slow down the entire fleet.
std::vector<HostId> selectHubs(const ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  std::vector<HubCandidate> Candidates;
  if (!H.Draining)
    Candidates.push_back(
        makeCandidate(H.Self.Id, relativeCapacity(H.Settings)));
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.Listed && !isDraining(Peer, Now))
      Candidates.push_back(makeCandidate(Id, Peer.Capacity));
  const std::size_t Count = std::min(HubCount, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<long>(Count),
                    Candidates.end());
  std::vector<HostId> Best;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Best.push_back(Candidates[Index].Id);
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

FleetDigest makeDigest(ForwardHost &H, HostId To, std::uint64_t Sequence) {
  FleetDigest Digest;
  Digest.Sequence = Sequence;
  Digest.Ready = isReady(H) && !isResuming(H);
  Digest.Decisions = coordinatedDecisions(H);
  Digest.FeedPositions = feedPositions(H);
  Digest.CrashHolds = crashHolds(H);
  Digest.TargetLimits = limitsToPassOn(H);
  Digest.TargetWarmups =
      H.Warmups.nextNotices(WarmupNoticesInDigest, H.Loop.now());
  Digest.KnowsColdTargets = knowsColdTargets(H);
  Digest.WatchHealthy = isWatchHealthy(H);
  if (Digest.WatchHealthy)
    Digest.ContentHashes = contentHashes(H);
  Digest.PlatformContact = platformContact(H);
  if (!H.Table)
    return Digest;
  Digest.ConfigVersion = H.Table->version();
  // The hosts' usage since the pause began is not known here yet.
  if (!isResuming(H))
    Digest.AccountLevels = H.Ledger.levels(To, *H.Table, H.Loop.now());
  return Digest;
}

/// Takes over limits of targets from the message that is being received.
void learnReceivedLimits(ForwardHost &H,
                         std::vector<TargetLimitNotice> Notices) {
  for (TargetLimitNotice &Notice : Notices)
    Notice.Age += H.Peers.waited();
  learnTargetLimits(H, Notices);
}

void applyDigest(ForwardHost &H, const FleetDigest &Digest) {
  const TimePoint Now = H.Loop.now();
  if (!H.ReceivingOutdated)
    for (const AccountLevel &Level : Digest.AccountLevels)
      H.Meter.updateLevel(Level, Now);
  for (const VersionDecision &Order : Digest.Decisions)
    mergeDecision(H, Order);
  for (const PoolCrashHold &Hold : Digest.CrashHolds)
    learnCrashHold(H, Hold);
  learnReceivedLimits(H, Digest.TargetLimits);
  learnTargetWarmups(H, Digest.TargetWarmups);
  if (Digest.KnowsColdTargets)
    trustOtherHosts(H);
}

/// Decides whether this host watches the platform or follows hubs that do.
void updateObjectSource(ForwardHost &H, const std::vector<HostId> &Hubs) {
  selectObjectSource(H, std::find(Hubs.begin(), Hubs.end(), H.Self.Id) !=
                            Hubs.end());
}

/// Returns the fraction of the listed hosts that were heard from recently,
/// including this one.
double reachableFraction(const ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  std::size_t Listed = 1;
  std::size_t Heard = 1;
  for (const auto &[Id, Peer] : H.Fleet) {
    if (!Peer.Listed)
      continue;
    ++Listed;
    Heard +=
        Peer.HeardAt != TimePoint{} && Now - Peer.HeardAt < HostTimeout ? 1 : 0;
  }
  return static_cast<double>(Heard) / static_cast<double>(Listed);
}

void receive(ForwardHost &H, const PeerSender &From,
             const FleetHeartbeat &Message) {
  ForwardPeer &Peer = H.Fleet[From.Id];
  if (Message.Draining)
    Peer.DrainingAt = H.Loop.now();
  learnReceivedLimits(H, Message.TargetLimits);
  learnTargetWarmups(H, Message.TargetWarmups);
  H.Leases.recordHeartbeat(From.Id, From.Incarnation, Message.Sequence,
                           Message.DigestSequence, Message.PledgedPools);
  if (H.Table)
    H.Ledger.recordUsage(From.Id, From.Incarnation, Message.Uptime,
                         Message.AccountUsages, *H.Table, H.Loop.now());
  Peer.HeartbeatAt = H.Loop.now();
  H.Leases.recordDigest(From.Id, Message.Sequence, H.Loop.now());
  sendTo(H, From.Id, makeDigest(H, From.Id, Message.Sequence));
}

void receive(ForwardHost &H, const PeerSender &From,
             const FleetDigest &Digest) {
  // The stages of versions and the limits in it only become stricter.
  if (H.ReceivingOutdated)
    return applyDigest(H, Digest);
  H.DigestHeard = true;
  ForwardPeer &Peer = H.Fleet[From.Id];
  if (Digest.Ready)
    Peer.AnsweredAt = H.Loop.now();
  if (Digest.Sequence > Peer.DigestSequence) {
    Peer.DigestSequence = Digest.Sequence;
    Peer.DigestAt = H.Loop.now();
  }
  const bool Fresh = Digest.WatchHealthy && knowsLatestEra(H, Digest);
  Peer.FreshAt = Fresh ? H.Loop.now() : TimePoint{};
  Peer.PlatformContactSince = Fresh && Digest.PlatformContact > Duration(0)
                                  ? H.Loop.now() - Digest.PlatformContact
                                  : TimePoint{};
  limitSettling(H);
  applyDigest(H, Digest);
  pullFromHub(H, From.Id, Digest);
  compareWithHub(H, From.Id, Digest);
  if (H.Source != ObjectSource::Hubs)
    updateObjectSource(H, selectHubs(H));
}

void receive(ForwardHost &H, const PeerSender &,
             const ArbiterMessage &Message) {
  // Only reservations and reports of grants and of lost attempts create an
  // arbiter; other messages need an existing one.
  const auto *Lost = std::get_if<AttemptLost>(&Message.Event);
  if (Lost != nullptr && Lost->PassedOn &&
      !acceptsZoneMessage(H, Message.Pool, Message.Zone, true))
    // The origin asks again, or has asked another arbiter meanwhile.
    if (H.ReceivingOutdated &&
        std::holds_alternative<SlotRequested>(Message.Event))
      return;
  const bool CreatesArbiter =
      std::holds_alternative<SlotRequested>(Message.Event) ||
      std::holds_alternative<GrantsReported>(Message.Event) || Lost != nullptr;
  if (isReady(H) &&
      (CreatesArbiter || runsArbiter(H, Message.Pool, Message.Zone)))
    stepArbiter(H, Message.Pool, Message.Zone, Message.Event);
}

void receive(ForwardHost &H, const PeerSender &, const OriginMessage &Message) {
  handleArbiterAction(H, Message.Action, Message.RedirectHost);
}

void receive(ForwardHost &H, const PeerSender &From, const ZoneBeat &Beat) {
  handleZoneBeat(H, From.Id, Beat);
}

void receive(ForwardHost &H, const PeerSender &From,
             const ZoneAggregateMessage &Message) {
  handleZoneAggregate(H, From.Id, Message);
}

void receive(ForwardHost &H, const PeerSender &From,
             const ReservationQueued &Queued) {
  const auto Slot = H.CallsByReservation.find(Queued.Key.Id);
  ForwardCall *Call =
      Slot == H.CallsByReservation.end() ? nullptr : findCall(H, Slot->second);
  if (Call != nullptr && Call->Pending.ArbiterHost == From.Id &&
      Queued.Key.OriginIncarnation == H.Incarnation)
    Call->Pending.Acknowledged = true;
}

void receive(ForwardHost &H, const PeerSender &,
             const EvidenceArrived &Arrived) {
  handleEvidence(H, Arrived);
}

/// Ignores messages of the daemon's other mode of operation.
template <typename OtherMessage>
void receive(ForwardHost &, const PeerSender &, const OtherMessage &) {}

void handleEnvelope(ForwardHost &H, std::string_view Bytes) {
  const Result<ReceivedEnvelope> Envelope = parseEnvelope(Bytes);
  if (!ok(Envelope)) {
    LogLine("peer_message_malformed", LogLevel::Warning)
        .with("bytes", static_cast<std::int64_t>(Bytes.size()));
    return;
  }
  const PeerSender &From = value(Envelope).Sender;
  const Result<SocketAddress> Address = parseAddress(From.Address);
  if (!ok(Address) || From.Id == H.Self.Id)
    return;
  ForwardPeer &Peer = H.Fleet[From.Id];
  if (From.Incarnation < Peer.Incarnation)
    return; // sent by an earlier incarnation
  if (From.Incarnation > Peer.Incarnation && !H.Pools.empty() &&
      number(Peer.Incarnation) != 0) {
    const IncarnationId LastIncarnation = Peer.Incarnation;
    for (const auto &[Pool, State] : H.Pools)
      for (const ZoneId Zone : hostedZones(State))
        stepArbiter(H, Pool, Zone, OriginLost{From.Id, LastIncarnation});
  }
  Peer.Incarnation = From.Incarnation;
  Peer.Host.Id = From.Id;
  Peer.Address = value(Address);
  const TimePoint ArrivedAt = H.Loop.now() - H.Peers.waited();
  Peer.HeardAt = std::max(Peer.HeardAt, ArrivedAt);
  Peer.ReportedLost = false;
  H.ReceivingOutdated = ArrivedAt < H.Loop.resumedAt();
  for (const PeerMessage &Message : value(Envelope).Messages)
    std::visit([&](const auto &Alternative) { receive(H, From, Alternative); },
               Message);
  H.ReceivingOutdated = false;
}

void sendHeartbeats(ForwardHost &H) {
  FleetHeartbeat Message;
  Message.Sender = H.Self;
  Message.Sequence = ++H.HeartbeatSequence;
  Message.ConfigVersion = H.Table ? H.Table->version() : 0;
  Message.Draining = H.Draining;
  Message.Uptime = H.Loop.now() - H.StartedAt;
  Message.TargetLimits =
      H.Limits.takeUnsent(RepeatedLimitNotices, H.Loop.now());
  Message.TargetWarmups =
      H.Warmups.takeUnsent(RepeatedWarmupNotices, H.Loop.now());
  H.Heartbeats.record(Message.Sequence, H.Loop.now());
  if (H.Table)
    Message.AccountUsages = H.Meter.collectUsage(*H.Table, H.Loop.now());
  H.Ledger.setReachableFraction(reachableFraction(H));
  const std::vector<HostId> Hubs = selectHubs(H);
  updateObjectSource(H, Hubs);
  for (const HostId Hub : Hubs) {
    if (Hub != H.Self.Id) {
      Message.PledgedPools = poolsPledgedTo(H, Hub);
      Message.DigestSequence = H.Fleet[Hub].DigestSequence;
      sendTo(H, Hub, Message);
      continue;
    }
    if (!H.Table)
      continue;
    H.Ledger.recordUsage(H.Self.Id, H.Incarnation, Message.Uptime,
                         Message.AccountUsages, *H.Table, H.Loop.now());
    applyDigest(H, makeDigest(H, H.Self.Id, Message.Sequence));
  }
}

/// Sends a heartbeat early if much usage was admitted since the last one: other
/// hosts admit against a level that does not include it yet. The same holds if
/// the limit of a target has changed.
void sendHeartbeatsIfDue(ForwardHost &H) {
  const bool UsageDue =
      H.Table != nullptr && H.Meter.reportDue(*H.Table, fleetSize(H));
  if (UsageDue || H.Limits.changeUnsent())
    sendHeartbeats(H);
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
      [&H](std::string_view Bytes) { handleEnvelope(H, Bytes); });
  H.Subscriptions.push_back(
      H.Timers.every(HeartbeatInterval, [&H]() { sendHeartbeats(H); }));
  H.Subscriptions.push_back(
      H.Timers.every(EarlyHeartbeatCheck, [&H]() { sendHeartbeatsIfDue(H); }));
  return Done{};
}

bool isResuming(const ForwardHost &H) {
  const TimePoint ResumedAt = H.Loop.resumedAt();
  return ResumedAt != TimePoint{} && H.Loop.now() - ResumedAt < ResumeTime &&
         fleetSize(H) > 1;
}

std::optional<HostId> arbiterOf(const ForwardHost &H, PoolId Pool) {
  const TimePoint Now = H.Loop.now();
  RendezvousChoice<HostId> Choice(number(Pool));
  for (const HostId Hub : selectHubs(H)) {
    const auto Peer = H.Fleet.find(Hub);
    const bool Here = Hub == H.Self.Id;
    const bool Available = Here
                               ? isReady(H) && !isResuming(H)
                               : Peer->second.AnsweredAt != TimePoint{} &&
                                     Now - Peer->second.AnsweredAt < HubTimeout;
    if (Available)
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

void sendNotices(ForwardHost &H) {
  if (H.Warmups.changeUnsent())
    sendHeartbeats(H);
  sendDigests(H);
}

namespace {

/// Sends the decisions on crashes of a zone's arbiter to the hubs, which tell
/// all hosts. The arbiter of a zone need not be a hub itself.
void sendHoldsToHubs(ForwardHost &H) {
  FleetDigest Digest;
  Digest.CrashHolds = crashHolds(H);
  if (Digest.CrashHolds.empty())
    return;
  const bool ArbitratesZone =
      std::any_of(H.Pools.begin(), H.Pools.end(), [](const auto &Entry) {
        const auto &Arbiters = Entry.second.Arbiters;
        return std::any_of(
            Arbiters.begin(), Arbiters.end(),
            [](const auto &Hosted) { return number(Hosted.first) != 0; });
      });
  if (!ArbitratesZone)
    return;
  for (const HostId Hub : selectHubs(H))
    if (Hub != H.Self.Id)
      sendTo(H, Hub, Digest);
}

} // namespace

void sendDigests(ForwardHost &H) {
  constexpr Duration RecentPeriod = seconds(1);
  const TimePoint Now = H.Loop.now();
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.HeartbeatAt != TimePoint{} &&
        Now - Peer.HeartbeatAt < RecentPeriod)
      sendTo(H, Id, makeDigest(H, Id, 0));
  sendHoldsToHubs(H);
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
  for (const ListedHost &Entry : Listed) {
    const Result<SocketAddress> Address = parseAddress(Entry.Host.Address);
    if (Entry.Host.Id == H.Self.Id || !ok(Address))
      continue;
    ForwardPeer &Peer = H.Fleet[Entry.Host.Id];
    Peer.Host = Entry.Host;
    Peer.Capacity = Entry.Capacity;
    Peer.Listed = true;
    if (H.Settings.ZoneArbitersMinTargets != 0)
      H.ZoneNames[Entry.Host.Zone] = Entry.ZoneName;
    if (Peer.HeardAt == TimePoint{})
      Peer.Address = value(Address);
  }
  updateRetryBudgets(H);
  updateObjectSource(H, selectHubs(H));
  updateDivision(H);
}

} // namespace marjorambay
