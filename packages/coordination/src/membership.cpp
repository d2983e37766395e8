/// Membership: heartbeats, failure detection, and the spreading of leaving
/// notices and trips.
#include "marjorambay/coordination/membership.h"

#include "marjorambay/coordination/rendezvous.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Rendezvous key that chooses the configuration watcher; distinct from the key
/// of any pool.
constexpr std::uint64_t WatcherKey = 0xC0F1;
constexpr Duration UrgentInterval = milliseconds(200);
constexpr std::size_t MaxRecentNotices = 64;
/// Zone peers reported to a new host.
constexpr std::size_t MaxJoinReplyHosts = 32;
constexpr std::size_t InitialProbes = 16; ///< hosts probed by the first tick

std::uint64_t digestOf(const LeavingNotice &Notice) {
  const std::uint64_t State =
      number(Notice.Incarnation) * 2 + (Notice.Cleared ? 1 : 0);
  return mixBits(number(Notice.Target) ^ mixBits(State + 1));
}

std::uint64_t digestOf(const TrippedVersion &Trip) {
  return mixBits(number(Trip.Rollout) ^ mixBits(number(Trip.Version) + 2));
}

/// Whether \p New supersedes \p Old, a notice about the same target.
bool overrides(const LeavingNotice &New, const LeavingNotice &Old) {
  if (New.Incarnation != Old.Incarnation)
    return New.Incarnation > Old.Incarnation;
  return Old.Cleared && !New.Cleared;
}

} // namespace

template <RandomSource Random>
BasicMembership<Random>::BasicMembership(MembershipSettings InitialSettings,
                                         Random Generator)
    : Settings(std::move(InitialSettings)), Rng(Generator) {
  for (const HostInfo &Seed : Settings.Seeds)
    offerCandidate(Seed);
}

template <RandomSource Random>
MembershipActions BasicMembership<Random>::step(const MembershipEvent &Event,
                                                TimePoint Now) {
  Out.clear();
  std::visit([&](const auto &Typed) { on(Typed, Now); }, Event);
  return std::move(Out);
}

// ---- Queries ----------------------------------------------------------------

template <RandomSource Random>
HostId BasicMembership<Random>::arbiterOf(PoolId Pool) const {
  return chooseIn(Settings.Self.Zone, number(Pool)).value_or(Settings.Self.Id);
}

template <RandomSource Random>
std::optional<HostId> BasicMembership<Random>::arbiterOf(PoolId Pool,
                                                         ZoneId Zone) const {
  return chooseIn(Zone, number(Pool));
}

template <RandomSource Random>
bool BasicMembership<Random>::watchesConfig() const {
  return chooseIn(Settings.Self.Zone, WatcherKey) == Settings.Self.Id;
}

template <RandomSource Random>
const Member *BasicMembership<Random>::member(HostId Id) const {
  const auto Found = Members.find(Id);
  return Found == Members.end() ? nullptr : &Found->second;
}

template <RandomSource Random>
bool BasicMembership<Random>::isLeaving(TargetId Target) const {
  const auto Found = Notices.find(Target);
  return Found != Notices.end() && !Found->second.Cleared;
}

template <RandomSource Random>
bool BasicMembership<Random>::isTripped(RolloutId Rollout,
                                        VersionId Version) const {
  return std::any_of(Trips.begin(), Trips.end(), [&](const auto &Trip) {
    return Trip.Rollout == Rollout && Trip.Version == Version;
  });
}

template <RandomSource Random>
std::optional<HostId>
BasicMembership<Random>::chooseIn(ZoneId Zone, std::uint64_t Key) const {
  if (const auto Chosen = chooseIn(Zone, Key, /*AlsoDraining=*/false))
    return Chosen;
  return chooseIn(Zone, Key, /*AlsoDraining=*/true);
}

template <RandomSource Random>
std::optional<HostId>
BasicMembership<Random>::chooseIn(ZoneId Zone, std::uint64_t Key,
                                  bool AlsoDraining) const {
  RendezvousChoice<HostId> Choice(Key);
  if (Zone == Settings.Self.Zone && (AlsoDraining || !Draining))
    Choice.consider(Settings.Self.Id);
  for (const auto &[Id, Peer] : Members)
    if (Peer.Host.Zone == Zone && Peer.State == HostState::Live &&
        (AlsoDraining || !Peer.Draining))
      Choice.consider(Id);
  if (!Choice.found())
    return std::nullopt;
  return Choice.best();
}

// ---- Incoming heartbeats ----------------------------------------------------

template <RandomSource Random>
void BasicMembership<Random>::on(const HeartbeatReceived &Event,
                                 TimePoint Now) {
  const Heartbeat &Message = Event.Message;
  if (isSelf(Message.Sender.Id))
    return;
  const Admission Admitted = admitSender(Message, Now);
  if (Admitted == Admission::Refused)
    return;
  recordUpdates(Message);
  mergeKnownHosts(Message, Now);
  if (Message.ConfigRevision > ConfigRevision)
    Out.emplace_back(
        NewerRevisionSeen{Message.Sender.Id, Message.ConfigRevision});
  replyIfBehind(Message, Admitted == Admission::Joined, Now);
}

template <RandomSource Random>
auto BasicMembership<Random>::admitSender(const Heartbeat &Message,
                                          TimePoint Now) -> Admission {
  const HostId Id = Message.Sender.Id;
  const auto Found = Members.find(Id);
  if (Found == Members.end() && Members.size() >= Settings.MaxHosts)
    return Admission::Refused;
  Member &Peer = Members[Id];
  const bool SameIncarnation = Peer.Incarnation == Message.Incarnation;
  if (Peer.Incarnation > Message.Incarnation ||
      (SameIncarnation && Message.Sequence <= Peer.Sequence))
    return Admission::Refused; // an older incarnation, a duplicate, or out of
                               // order
  const bool Joined = Found == Members.end() || !SameIncarnation ||
                      !Peer.HeardDirectly || Peer.State == HostState::Lost;
  const bool ViewChanges = Joined || Peer.State != HostState::Live ||
                           Peer.Draining != Message.Draining;
  if (Joined)
    joinSender(Peer, Message, Now);
  Peer.Host = Message.Sender;
  Peer.Sequence = Message.Sequence;
  Peer.State = HostState::Live;
  Peer.Draining = Message.Draining;
  Peer.ConfigRevision = Message.ConfigRevision;
  Peer.NoticesDigest = Message.NoticesDigest;
  Peer.LastHeard = Now;
  Candidates.erase(Id);
  if (!inOwnZone(Peer.Host))
    Relays.push_back(Id);
  if (ViewChanges)
    Out.emplace_back(ZoneViewChanged{});
  return Joined ? Admission::Joined : Admission::Known;
}

template <RandomSource Random>
void BasicMembership<Random>::joinSender(Member &Peer, const Heartbeat &Message,
                                         TimePoint /*Now*/) {
  const bool Replaces =
      number(Peer.Incarnation) != 0 && Peer.Incarnation != Message.Incarnation;
  if (Replaces && Peer.State != HostState::Lost)
    Out.emplace_back(HostLost{Message.Sender.Id, Peer.Incarnation});
  const bool Announced = Peer.Incarnation == Message.Incarnation &&
                         Peer.State != HostState::Lost && !Peer.HeardDirectly;
  Peer.Incarnation = Message.Incarnation;
  Peer.HeardDirectly = true;
  if (!Announced)
    Out.emplace_back(HostJoined{Message.Sender, Message.Incarnation});
}

template <RandomSource Random>
void BasicMembership<Random>::recordUpdates(const Heartbeat &Message) {
  for (const LeavingNotice &Notice : Message.LeavingNotices)
    recordNotice(Notice);
  for (const TrippedVersion &Trip : Message.TrippedVersions)
    recordTrip(Trip);
}

template <RandomSource Random>
void BasicMembership<Random>::mergeKnownHosts(const Heartbeat &Message,
                                              TimePoint Now) {
  for (const KnownHost &Entry : Message.KnownHosts) {
    if (isSelf(Entry.Host.Id))
      continue;
    if (inOwnZone(Entry.Host))
      offerCandidate(Entry.Host); // a zone peer joins by its own heartbeat only
    else if (Entry.Host.Zone == Message.Sender.Zone &&
             exceedsSuspectTimeout(Entry.Age))
      suspectRemote(Entry, Now);
    else
      mergeRemoteHost(Entry, Now);
  }
}

template <RandomSource Random>
bool BasicMembership<Random>::exceedsSuspectTimeout(Duration SinceHeard) const {
  return SinceHeard >= Settings.HeartbeatInterval * Settings.SuspectAfterMissed;
}

/// Suspects a remote host that misses heartbeats according to its zone peer, if
/// none has arrived here either. It arbitrates nothing until it is heard again.
template <RandomSource Random>
void BasicMembership<Random>::suspectRemote(const KnownHost &Report,
                                            TimePoint Now) {
  const auto Found = Members.find(Report.Host.Id);
  if (Found == Members.end() || Found->second.Incarnation != Report.Incarnation)
    return;
  Member &Peer = Found->second;
  if (Peer.State == HostState::Live &&
      exceedsSuspectTimeout(Now - Peer.LastHeard))
    setState(Peer, HostState::Suspect);
}

template <RandomSource Random>
void BasicMembership<Random>::mergeRemoteHost(const KnownHost &Report,
                                              TimePoint Now) {
  const TimePoint HeardAt = Now - std::max(Report.Age, Duration(0));
  if (Report.Age >= Settings.RemoteLostAfter)
    return;
  const auto Found = Members.find(Report.Host.Id);
  if (Found == Members.end() && Members.size() >= Settings.MaxHosts)
    return;
  Member &Peer = Members[Report.Host.Id];
  const bool IsNewIncarnation = Report.Incarnation > Peer.Incarnation;
  if (Report.Incarnation < Peer.Incarnation ||
      (!IsNewIncarnation && HeardAt <= Peer.LastHeard))
    return;
  if (IsNewIncarnation && number(Peer.Incarnation) != 0 &&
      Peer.State != HostState::Lost)
    Out.emplace_back(HostLost{Report.Host.Id, Peer.Incarnation});
  if (IsNewIncarnation || Peer.State == HostState::Lost)
    Out.emplace_back(HostJoined{Report.Host, Report.Incarnation});
  if (IsNewIncarnation)
    Peer = Member{.Host = Report.Host, .Incarnation = Report.Incarnation};
  Peer.Host = Report.Host;
  setState(Peer, HostState::Live);
  Peer.Draining = Report.Draining;
  Peer.ConfigRevision = std::max(Peer.ConfigRevision, Report.ConfigRevision);
  Peer.LastHeard = HeardAt;
  Candidates.erase(Report.Host.Id);
}

template <RandomSource Random>
void BasicMembership<Random>::offerCandidate(const HostInfo &Host) {
  if (isSelf(Host.Id) || Candidates.size() >= Settings.MaxHosts)
    return;
  const Member *Peer = member(Host.Id);
  if (!Peer || Peer->State == HostState::Lost)
    Candidates[Host.Id] = Host;
}

/// Replies to a new host with the hosts of this zone, and to a host of another
/// zone that lacks updates of this one. Hop bounds an exchange to three
/// heartbeats.
template <RandomSource Random>
void BasicMembership<Random>::replyIfBehind(const Heartbeat &Message,
                                            bool Joined, TimePoint Now) {
  constexpr std::uint8_t LastHop = 2;
  if (Message.Hop >= LastHop)
    return;
  const bool Differs = Message.NoticesDigest != NoticesDigest;
  const bool Behind = Differs || Message.ConfigRevision < ConfigRevision;
  const bool IsLink = !inOwnZone(Message.Sender);
  if (!(Joined && Message.Hop == 0) && !(IsLink && Behind))
    return;
  Heartbeat Reply = composeHeartbeat();
  Reply.Hop = Message.Hop + 1;
  if (Differs)
    addNotices(Reply);
  if (Joined)
    addZonePeers(Reply, MaxJoinReplyHosts, Now);
  send(Message.Sender, std::move(Reply));
}

// ---- Leaving notices and trips ----------------------------------------------

template <RandomSource Random>
bool BasicMembership<Random>::recordNotice(const LeavingNotice &Received) {
  LeavingNotice Notice = Received;
  const auto Reported = KnownIncarnations.find(Notice.Target);
  if (Reported != KnownIncarnations.end() && number(Notice.Incarnation) == 0)
    Notice.Incarnation = Reported->second;
  if (Configured && !Configured->contains(Notice.Target))
    return false; // peers send it again once the target is configured here
  const auto Found = Notices.find(Notice.Target);
  if (Found != Notices.end() && !overrides(Notice, Found->second))
    return false;
  eraseNotice(Notice.Target);
  Notices[Notice.Target] = Notice;
  NoticesDigest ^= digestOf(Notice);
  if (RecentNotices.size() == MaxRecentNotices)
    RecentNotices.erase(RecentNotices.begin());
  RecentNotices.push_back(Notice.Target);
  HasUrgentUpdates = true;
  Out.emplace_back(LeavingNoticeRecorded{Notice});
  return true;
}

template <RandomSource Random>
void BasicMembership<Random>::eraseNotice(TargetId Target) {
  const auto Found = Notices.find(Target);
  if (Found == Notices.end())
    return;
  NoticesDigest ^= digestOf(Found->second);
  Notices.erase(Found);
  std::erase(RecentNotices, Target);
}

template <RandomSource Random>
bool BasicMembership<Random>::recordTrip(const TrippedVersion &Trip) {
  if (Trips.contains(Trip))
    return false;
  if (Trips.size() >= Settings.MaxTrips) {
    const auto Oldest = Trips.begin();
    if (Trip < *Oldest)
      return false;
    NoticesDigest ^= digestOf(*Oldest);
    Trips.erase(Oldest);
  }
  Trips.insert(Trip);
  NoticesDigest ^= digestOf(Trip);
  HasUrgentUpdates = true;
  Out.emplace_back(TripRecorded{Trip});
  return true;
}

template <RandomSource Random>
void BasicMembership<Random>::on(const LeavingNoticeReceived &Event,
                                 TimePoint /*Now*/) {
  LeavingNotice Notice = Event.Notice;
  const auto Found = Notices.find(Notice.Target);
  if (number(Notice.Incarnation) == 0 && Found != Notices.end())
    Notice.Incarnation = Found->second.Incarnation;
  recordNotice(Notice);
}

template <RandomSource Random>
void BasicMembership<Random>::on(const TargetIncarnationSeen &Event,
                                 TimePoint /*Now*/) {
  IncarnationId &Latest = KnownIncarnations[Event.Target];
  Latest = std::max(Latest, Event.Incarnation);
  const auto Found = Notices.find(Event.Target);
  if (Found == Notices.end() || Found->second.Incarnation >= Latest)
    return;
  // A notice without an incarnation applies to the first incarnation reported
  // after it.
  const bool WasUnknown = number(Found->second.Incarnation) == 0;
  recordNotice({Event.Target, Latest, /*Cleared=*/!WasUnknown});
}

template <RandomSource Random>
void BasicMembership<Random>::on(const TargetsConfigured &Event,
                                 TimePoint /*Now*/) {
  Configured.emplace(Event.Targets.begin(), Event.Targets.end());
  std::vector<TargetId> Unconfigured;
  for (const auto &[Target, Notice] : Notices)
    if (!Configured->contains(Target))
      Unconfigured.push_back(Target);
  for (TargetId Target : Unconfigured)
    eraseNotice(Target);
  std::erase_if(KnownIncarnations, [&](const auto &Entry) {
    return !Configured->contains(Entry.first);
  });
}

template <RandomSource Random>
void BasicMembership<Random>::on(const VersionFaultDetected &Event,
                                 TimePoint /*Now*/) {
  recordTrip(Event.Trip);
}

template <RandomSource Random>
void BasicMembership<Random>::on(const RevisionAdopted &Event,
                                 TimePoint /*Now*/) {
  if (Event.ConfigRevision <= ConfigRevision)
    return;
  ConfigRevision = Event.ConfigRevision;
  HasUrgentUpdates = true;
}

template <RandomSource Random>
void BasicMembership<Random>::on(const HostDrainStarted & /*Event*/,
                                 TimePoint /*Now*/) {
  Draining = true;
  HasUrgentUpdates = true;
  Out.emplace_back(ZoneViewChanged{});
}

template <RandomSource Random>
void BasicMembership<Random>::on(const HostListRead &Event, TimePoint /*Now*/) {
  Candidates.clear(); // the list lags behind, so it only adds probe candidates
  for (const HostInfo &Seed : Settings.Seeds)
    offerCandidate(Seed);
  for (const HostInfo &Host : Event.Live)
    offerCandidate(Host);
}

// ---- Ticks and timeouts -----------------------------------------------------

template <RandomSource Random>
void BasicMembership<Random>::on(const MembershipTicked & /*Event*/,
                                 TimePoint Now) {
  if (!LastTick) {
    NextHeartbeat = Now;
    probe(InitialProbes, Now);
  }
  detectPause(Now);
  LastTick = Now;
  if (Now >= NextHeartbeat)
    return heartbeatRound(Now);
  if (HasUrgentUpdates && Now >= NextUrgent)
    sendUrgentUpdates(Now);
}

/// Time during which this host did not run does not count as silence of other
/// hosts: after a pause their timeouts are extended by its length.
template <RandomSource Random>
void BasicMembership<Random>::detectPause(TimePoint Now) {
  if (!LastTick)
    return;
  const Duration Gap = Now - *LastTick;
  if (Gap <= 2 * Settings.HeartbeatInterval)
    return;
  for (auto &[Id, Peer] : Members)
    Peer.LastHeard = std::min(Peer.LastHeard + Gap, Now);
  Out.emplace_back(LocalPauseDetected{Gap});
}

template <RandomSource Random>
Duration BasicMembership<Random>::heartbeatInterval() const {
  const Duration Paced = Duration(seconds(1)) *
                         static_cast<std::int64_t>(zonePeerCount()) /
                         Settings.MaxZoneHeartbeatsPerSecond;
  return std::max(Settings.HeartbeatInterval, Paced);
}

template <RandomSource Random>
std::size_t BasicMembership<Random>::zonePeerCount() const {
  const auto IsPeer = [&](const auto &Entry) {
    return inOwnZone(Entry.second.Host) &&
           Entry.second.State != HostState::Lost;
  };
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), IsPeer));
}

template <RandomSource Random>
void BasicMembership<Random>::updateLiveness(TimePoint Now) {
  const Duration Interval = heartbeatInterval();
  bool AnyForgotten = false;
  for (auto &[Id, Peer] : Members) {
    const Duration SinceHeard = Now - Peer.LastHeard;
    if (Peer.State == HostState::Lost) {
      AnyForgotten = AnyForgotten || SinceHeard >= Settings.ForgetAfter;
      continue;
    }
    if (inOwnZone(Peer.Host))
      updateZonePeer(Peer, SinceHeard, Interval);
    else if (SinceHeard >= Settings.RemoteLostAfter)
      setState(Peer, HostState::Lost);
  }
  if (!AnyForgotten)
    return;
  std::erase_if(Members, [&](const auto &Entry) {
    return Entry.second.State == HostState::Lost &&
           Now - Entry.second.LastHeard >= Settings.ForgetAfter;
  });
}

template <RandomSource Random>
void BasicMembership<Random>::updateZonePeer(Member &Peer, Duration SinceHeard,
                                             Duration Interval) {
  if (SinceHeard >= Interval * Settings.LostAfterMissed)
    return setState(Peer, HostState::Lost);
  if (SinceHeard >= Interval * Settings.SuspectAfterMissed)
    setState(Peer, HostState::Suspect);
}

template <RandomSource Random>
void BasicMembership<Random>::setState(Member &Peer, HostState State) {
  if (Peer.State == State)
    return;
  Peer.State = State;
  if (State == HostState::Lost)
    Out.emplace_back(HostLost{Peer.Host.Id, Peer.Incarnation});
  if (State == HostState::Suspect && inOwnZone(Peer.Host))
    HasUrgentUpdates =
        true; // other zones must also stop using it as an arbiter
  Out.emplace_back(ZoneViewChanged{});
}

template <RandomSource Random>
void BasicMembership<Random>::heartbeatRound(TimePoint Now) {
  updateLiveness(Now);
  const Duration Interval = heartbeatInterval();
  NextHeartbeat = std::max(NextHeartbeat + Interval, Now + Interval / 2);
  heartbeatZone(Now, /*OnlyBehind=*/false);
  heartbeatLinks(Settings.LinksPerInterval, Now);
  probe(Settings.ProbesPerInterval, Now);
  Relays.clear();
  if (HasUrgentUpdates && Now >= NextUrgent)
    sendUrgentUpdates(Now);
}

/// Sends pending urgent updates at once: to zone peers that lack them, and to
/// some hosts of other zones.
template <RandomSource Random>
void BasicMembership<Random>::sendUrgentUpdates(TimePoint Now) {
  HasUrgentUpdates = false;
  NextUrgent = Now + UrgentInterval;
  heartbeatZone(Now, /*OnlyBehind=*/true);
  heartbeatLinks(Settings.UrgentLinks, Now);
}

template <RandomSource Random>
bool BasicMembership<Random>::isBehind(const Member &Peer) const {
  return Peer.NoticesDigest != NoticesDigest ||
         Peer.ConfigRevision < ConfigRevision || Draining;
}

template <RandomSource Random>
void BasicMembership<Random>::heartbeatZone(TimePoint Now, bool OnlyBehind) {
  for (const auto &[Id, Peer] : Members) {
    if (!inOwnZone(Peer.Host) || Peer.State == HostState::Lost)
      continue;
    if (OnlyBehind && !isBehind(Peer))
      continue;
    Heartbeat Message = composeHeartbeat();
    if (Peer.NoticesDigest != NoticesDigest)
      addNotices(Message);
    addRelays(Message, Now);
    send(Peer.Host, std::move(Message));
  }
}

template <RandomSource Random>
void BasicMembership<Random>::heartbeatLinks(std::uint32_t Count,
                                             TimePoint Now) {
  for (std::uint32_t Link = 0; Link < Count; ++Link) {
    const Member *Peer = pickLinkPeer();
    if (!Peer)
      return;
    Heartbeat Message = composeHeartbeat();
    if (Peer->NoticesDigest != NoticesDigest)
      addNotices(Message);
    addZonePeers(Message, Settings.ZonePeersPerLink, Now);
    send(Peer->Host, std::move(Message));
  }
}

/// Chooses a random live host of the next zone in a shuffled rotation over all
/// other zones, so that no zone waits longer than one rotation.
template <RandomSource Random>
const Member *BasicMembership<Random>::pickLinkPeer() {
  if (LinkOrder.empty())
    refillLinkOrder();
  if (LinkOrder.empty())
    return nullptr;
  const ZoneId Zone = LinkOrder.back();
  LinkOrder.pop_back();
  const Member *Chosen = nullptr;
  std::size_t Visited = 0;
  for (const auto &[Id, Peer] : Members) {
    if (Peer.Host.Zone != Zone || Peer.State != HostState::Live)
      continue;
    if (drawBelow(Rng, ++Visited) == 0)
      Chosen = &Peer;
  }
  return Chosen;
}

template <RandomSource Random> void BasicMembership<Random>::refillLinkOrder() {
  std::set<ZoneId> Zones;
  for (const auto &[Id, Peer] : Members)
    if (!inOwnZone(Peer.Host) && Peer.State == HostState::Live)
      Zones.insert(Peer.Host.Zone);
  LinkOrder.assign(Zones.begin(), Zones.end());
  for (std::size_t Left = LinkOrder.size(); Left > 1; --Left)
    std::swap(LinkOrder[Left - 1], LinkOrder[drawBelow(Rng, Left)]);
}

/// Sends heartbeats to random candidates and lost hosts. This is how a new host
/// joins, and how the sides of a network partition find each other again.
template <RandomSource Random>
void BasicMembership<Random>::probe(std::size_t Count, TimePoint Now) {
  std::vector<HostInfo> Unreached;
  for (const auto &[Id, Host] : Candidates)
    Unreached.push_back(Host);
  for (const auto &[Id, Peer] : Members)
    if (Peer.State == HostState::Lost && !Candidates.contains(Id))
      Unreached.push_back(Peer.Host);
  for (; Count > 0 && !Unreached.empty(); --Count) {
    std::swap(Unreached[drawBelow(Rng, Unreached.size())], Unreached.back());
    Heartbeat Message = composeHeartbeat();
    addZonePeers(Message, Settings.ZonePeersPerLink, Now);
    send(Unreached.back(), std::move(Message));
    Unreached.pop_back();
  }
}

// ---- Outgoing heartbeats ----------------------------------------------------

template <RandomSource Random>
Heartbeat BasicMembership<Random>::composeHeartbeat() const {
  Heartbeat Message;
  Message.Sender = Settings.Self;
  Message.Incarnation = Settings.Incarnation;
  Message.ConfigRevision = ConfigRevision;
  Message.Draining = Draining;
  Message.NoticesDigest = NoticesDigest;
  return Message;
}

/// Adds the newest notices, then others in rotation, up to the limit.
template <RandomSource Random>
void BasicMembership<Random>::addNotices(Heartbeat &Message) {
  const std::size_t Limit = Settings.MaxNoticesPerHeartbeat;
  Message.TrippedVersions.assign(Trips.begin(), Trips.end());
  if (Notices.size() <= Limit) {
    for (const auto &[Target, Notice] : Notices)
      Message.LeavingNotices.push_back(Notice);
    return;
  }
  for (std::size_t Index = 0; Index < RecentNotices.size() && Index < Limit / 4;
       ++Index)
    Message.LeavingNotices.push_back(
        Notices[RecentNotices[RecentNotices.size() - 1 - Index]]);
  auto Next =
      std::next(Notices.begin(),
                static_cast<std::ptrdiff_t>(NoticeCursor % Notices.size()));
  while (Message.LeavingNotices.size() < Limit) {
    Message.LeavingNotices.push_back(Next->second);
    ++NoticeCursor;
    if (++Next == Notices.end())
      Next = Notices.begin();
  }
}

template <RandomSource Random>
KnownHost BasicMembership<Random>::toKnownHost(const Member &Peer,
                                               TimePoint Now) {
  return {Peer.Host, Peer.Incarnation, Now - Peer.LastHeard, Peer.Draining,
          Peer.ConfigRevision};
}

/// Adds remote hosts that were heard since the last round, latest first.
template <RandomSource Random>
void BasicMembership<Random>::addRelays(Heartbeat &Message,
                                        TimePoint Now) const {
  for (std::size_t Index = 0;
       Index < Relays.size() && Index < Settings.RelayedPerHeartbeat; ++Index) {
    const Member *Peer = member(Relays[Relays.size() - 1 - Index]);
    if (Peer && Peer->State == HostState::Live)
      Message.KnownHosts.push_back(toKnownHost(*Peer, Now));
  }
}

/// Adds hosts of this zone: one that stopped responding, then others in
/// rotation.
template <RandomSource Random>
void BasicMembership<Random>::addZonePeers(Heartbeat &Message,
                                           std::size_t Count, TimePoint Now) {
  if (const Member *Unresponsive = latestUnresponsivePeer(Now);
      Unresponsive && Count > 0) {
    Message.KnownHosts.push_back(toKnownHost(*Unresponsive, Now));
    --Count;
  }
  auto Next = Members.upper_bound(ZonePeerCursor);
  for (std::size_t Visited = 0; Visited < Members.size() && Count > 0;
       ++Visited) {
    if (Next == Members.end())
      Next = Members.begin();
    const auto &[Id, Peer] = *Next++;
    if (!inOwnZone(Peer.Host) || Peer.State != HostState::Live)
      continue;
    Message.KnownHosts.push_back(toKnownHost(Peer, Now));
    ZonePeerCursor = Id;
    --Count;
  }
}

/// Returns the zone peer that stopped responding most recently, or null; only
/// peers that other zones may still consider alive.
template <RandomSource Random>
const Member *
BasicMembership<Random>::latestUnresponsivePeer(TimePoint Now) const {
  const Member *Newest = nullptr;
  for (const auto &[Id, Peer] : Members) {
    if (!inOwnZone(Peer.Host) || Peer.State == HostState::Live ||
        Now - Peer.LastHeard >= Settings.RemoteLostAfter)
      continue;
    if (!Newest || Peer.LastHeard > Newest->LastHeard)
      Newest = &Peer;
  }
  return Newest;
}

template <RandomSource Random>
void BasicMembership<Random>::send(const HostInfo &To, Heartbeat Message) {
  Message.Sequence = ++Sequence;
  Out.emplace_back(SendHeartbeat{To, std::move(Message)});
}

template class BasicMembership<SplitMix64>;

} // namespace marjorambay
