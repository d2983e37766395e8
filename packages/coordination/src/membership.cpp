/// Heartbeats, suspicion and loss, and the spreading of signs.
#include "marjorambay/coordination/membership.h"

#include "marjorambay/coordination/rendezvous.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Key of the configuration watcher's choice; distinct from any pool's.
constexpr std::uint64_t WatcherKey = 0xC0F1;
constexpr Duration UrgentInterval = milliseconds(200);
constexpr std::size_t MaxRecentSigns = 64;
constexpr std::size_t MaxJoinReply = 32; ///< zone mates told to a new host
constexpr std::size_t FirstProbes = 16;  ///< hosts tried by the first tick

std::uint64_t digestOf(const LeavingNotice &Sign) {
  const std::uint64_t Life =
      number(Sign.Incarnation) * 2 + (Sign.Cleared ? 1 : 0);
  return mixBits(number(Sign.Target) ^ mixBits(Life + 1));
}

std::uint64_t digestOf(const TrippedVersion &Trip) {
  return mixBits(number(Trip.Rollout) ^ mixBits(number(Trip.Version) + 2));
}

/// Whether \p New says more of a target's life than \p Old.
bool overrides(const LeavingNotice &New, const LeavingNotice &Old) {
  if (New.Incarnation != Old.Incarnation)
    return New.Incarnation > Old.Incarnation;
  return Old.Cleared && !New.Cleared;
}

} // namespace

template <RandomSource Random>
BasicMembership<Random>::BasicMembership(MembershipSettings Wanted,
                                         Random Numbers)
    : Settings(std::move(Wanted)), Source(Numbers) {
  for (const HostInfo &Seed : Settings.Seeds)
    offerCandidate(Seed);
}

template <RandomSource Random>
MembershipActions BasicMembership<Random>::step(const MembershipEvent &Event,
                                                TimePoint Now) {
  Out.clear();
  std::visit([&](const auto &Kind) { on(Kind, Now); }, Event);
  return std::move(Out);
}

// ---- What is asked ----------------------------------------------------------

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
  const auto Found = Signs.find(Target);
  return Found != Signs.end() && !Found->second.Cleared;
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

// ---- Heartbeats that arrive -------------------------------------------------

template <RandomSource Random>
void BasicMembership<Random>::on(const HeartbeatReceived &Event,
                                 TimePoint Now) {
  const Heartbeat &Beat = Event.Message;
  if (isSelf(Beat.Sender.Id))
    return;
  const Admission Admitted = admitSender(Beat, Now);
  if (Admitted == Admission::Refused)
    return;
  learnSigns(Beat);
  learnKnown(Beat, Now);
  if (Beat.ConfigRevision > ConfigRevision)
    Out.emplace_back(NewerRevisionSeen{Beat.Sender.Id, Beat.ConfigRevision});
  answerIfBehind(Beat, Admitted == Admission::Joined, Now);
}

template <RandomSource Random>
auto BasicMembership<Random>::admitSender(const Heartbeat &Beat, TimePoint Now)
    -> Admission {
  const HostId Id = Beat.Sender.Id;
  const auto Found = Members.find(Id);
  if (Found == Members.end() && Members.size() >= Settings.MaxHosts)
    return Admission::Refused;
  Member &Peer = Members[Id];
  const bool SameLife = Peer.Incarnation == Beat.Incarnation;
  if (Peer.Incarnation > Beat.Incarnation ||
      (SameLife && Beat.Sequence <= Peer.Sequence))
    return Admission::Refused; // an older life, a duplicate, or out of order
  const bool Joined = Found == Members.end() || !SameLife || !Peer.Heard ||
                      Peer.State == HostState::Lost;
  const bool ViewChanges =
      Joined || Peer.State != HostState::Live || Peer.Draining != Beat.Draining;
  if (Joined)
    joinSender(Peer, Beat, Now);
  Peer.Host = Beat.Sender;
  Peer.Sequence = Beat.Sequence;
  Peer.State = HostState::Live;
  Peer.Draining = Beat.Draining;
  Peer.ConfigRevision = Beat.ConfigRevision;
  Peer.NoticesDigest = Beat.NoticesDigest;
  Peer.LastHeard = Now;
  Candidates.erase(Id);
  if (!inOwnZone(Peer.Host))
    Relays.push_back(Id);
  if (ViewChanges)
    Out.emplace_back(ZoneViewChanged{});
  return Joined ? Admission::Joined : Admission::Known;
}

template <RandomSource Random>
void BasicMembership<Random>::joinSender(Member &Peer, const Heartbeat &Beat,
                                         TimePoint /*Now*/) {
  const bool Replaces =
      number(Peer.Incarnation) != 0 && Peer.Incarnation != Beat.Incarnation;
  if (Replaces && Peer.State != HostState::Lost)
    Out.emplace_back(HostLost{Beat.Sender.Id, Peer.Incarnation});
  const bool Announced = Peer.Incarnation == Beat.Incarnation &&
                         Peer.State != HostState::Lost && !Peer.Heard;
  Peer.Incarnation = Beat.Incarnation;
  Peer.Heard = true;
  if (!Announced)
    Out.emplace_back(HostJoined{Beat.Sender, Beat.Incarnation});
}

template <RandomSource Random>
void BasicMembership<Random>::learnSigns(const Heartbeat &Beat) {
  for (const LeavingNotice &Sign : Beat.LeavingNotices)
    learnSign(Sign);
  for (const TrippedVersion &Trip : Beat.TrippedVersions)
    learnTrip(Trip);
}

template <RandomSource Random>
void BasicMembership<Random>::learnKnown(const Heartbeat &Beat, TimePoint Now) {
  for (const KnownHost &Entry : Beat.KnownHosts) {
    if (isSelf(Entry.Host.Id))
      continue;
    if (inOwnZone(Entry.Host))
      offerCandidate(Entry.Host); // believed once it is heard itself
    else if (Entry.Host.Zone == Beat.Sender.Zone && isSilent(Entry.Age))
      suspectRemote(Entry, Now);
    else
      learnRemote(Entry, Now);
  }
}

template <RandomSource Random>
bool BasicMembership<Random>::isSilent(Duration Silence) const {
  return Silence >= Settings.HeartbeatInterval * Settings.MissedToSuspect;
}

/// A zone mate of a remote host misses its heartbeats, and none came here
/// either: it arbitrates nothing until it is heard again.
template <RandomSource Random>
void BasicMembership<Random>::suspectRemote(const KnownHost &Known,
                                            TimePoint Now) {
  const auto Found = Members.find(Known.Host.Id);
  if (Found == Members.end() || Found->second.Incarnation != Known.Incarnation)
    return;
  Member &Peer = Found->second;
  if (Peer.State == HostState::Live && isSilent(Now - Peer.LastHeard))
    setState(Peer, HostState::Suspect);
}

template <RandomSource Random>
void BasicMembership<Random>::learnRemote(const KnownHost &Known,
                                          TimePoint Now) {
  const TimePoint Heard = Now - std::max(Known.Age, Duration(0));
  if (Known.Age >= Settings.RemoteLostAfter)
    return;
  const auto Found = Members.find(Known.Host.Id);
  if (Found == Members.end() && Members.size() >= Settings.MaxHosts)
    return;
  Member &Peer = Members[Known.Host.Id];
  const bool NewLife = Known.Incarnation > Peer.Incarnation;
  if (Known.Incarnation < Peer.Incarnation ||
      (!NewLife && Heard <= Peer.LastHeard))
    return;
  if (NewLife && number(Peer.Incarnation) != 0 && Peer.State != HostState::Lost)
    Out.emplace_back(HostLost{Known.Host.Id, Peer.Incarnation});
  if (NewLife || Peer.State == HostState::Lost)
    Out.emplace_back(HostJoined{Known.Host, Known.Incarnation});
  if (NewLife)
    Peer = Member{.Host = Known.Host, .Incarnation = Known.Incarnation};
  Peer.Host = Known.Host;
  setState(Peer, HostState::Live);
  Peer.Draining = Known.Draining;
  Peer.ConfigRevision = std::max(Peer.ConfigRevision, Known.ConfigRevision);
  Peer.LastHeard = Heard;
  Candidates.erase(Known.Host.Id);
}

template <RandomSource Random>
void BasicMembership<Random>::offerCandidate(const HostInfo &Host) {
  if (isSelf(Host.Id) || Candidates.size() >= Settings.MaxHosts)
    return;
  const Member *Peer = member(Host.Id);
  if (!Peer || Peer->State == HostState::Lost)
    Candidates[Host.Id] = Host;
}

/// Answers a new host with its zone's hosts, and a link from a host that lacks
/// what this one has. Hop bounds an exchange to three heartbeats.
template <RandomSource Random>
void BasicMembership<Random>::answerIfBehind(const Heartbeat &Beat, bool Joined,
                                             TimePoint Now) {
  constexpr std::uint8_t LastHop = 2;
  if (Beat.Hop >= LastHop)
    return;
  const bool Differs = Beat.NoticesDigest != SignsDigest;
  const bool Behind = Differs || Beat.ConfigRevision < ConfigRevision;
  const bool IsLink = !inOwnZone(Beat.Sender);
  if (!(Joined && Beat.Hop == 0) && !(IsLink && Behind))
    return;
  Heartbeat Answer = composeHeartbeat();
  Answer.Hop = Beat.Hop + 1;
  if (Differs)
    addSigns(Answer);
  if (Joined)
    addZoneMates(Answer, MaxJoinReply, Now);
  send(Beat.Sender, std::move(Answer));
}

// ---- Signs and trips --------------------------------------------------------

template <RandomSource Random>
bool BasicMembership<Random>::learnSign(const LeavingNotice &Heard) {
  LeavingNotice Sign = Heard;
  const auto Life = Lives.find(Sign.Target);
  if (Life != Lives.end() && number(Sign.Incarnation) == 0)
    Sign.Incarnation = Life->second;
  if (Configured && !Configured->contains(Sign.Target))
    return false; // sent again once the entry is known here
  const auto Found = Signs.find(Sign.Target);
  if (Found != Signs.end() && !overrides(Sign, Found->second))
    return false;
  eraseSign(Sign.Target);
  Signs[Sign.Target] = Sign;
  SignsDigest ^= digestOf(Sign);
  if (RecentSigns.size() == MaxRecentSigns)
    RecentSigns.erase(RecentSigns.begin());
  RecentSigns.push_back(Sign.Target);
  HasNews = true;
  Out.emplace_back(LeavingNoticeRecorded{Sign});
  return true;
}

template <RandomSource Random>
void BasicMembership<Random>::eraseSign(TargetId Target) {
  const auto Found = Signs.find(Target);
  if (Found == Signs.end())
    return;
  SignsDigest ^= digestOf(Found->second);
  Signs.erase(Found);
  std::erase(RecentSigns, Target);
}

template <RandomSource Random>
bool BasicMembership<Random>::learnTrip(const TrippedVersion &Trip) {
  if (Trips.contains(Trip))
    return false;
  if (Trips.size() >= Settings.MaxTrips) {
    const auto Oldest = Trips.begin();
    if (Trip < *Oldest)
      return false;
    SignsDigest ^= digestOf(*Oldest);
    Trips.erase(Oldest);
  }
  Trips.insert(Trip);
  SignsDigest ^= digestOf(Trip);
  HasNews = true;
  Out.emplace_back(TripRecorded{Trip});
  return true;
}

template <RandomSource Random>
void BasicMembership<Random>::on(const LeavingNoticeReceived &Event,
                                 TimePoint /*Now*/) {
  LeavingNotice Sign = Event.Notice;
  const auto Known = Signs.find(Sign.Target);
  if (number(Sign.Incarnation) == 0 && Known != Signs.end())
    Sign.Incarnation = Known->second.Incarnation;
  learnSign(Sign);
}

template <RandomSource Random>
void BasicMembership<Random>::on(const TargetIncarnationSeen &Event,
                                 TimePoint /*Now*/) {
  IncarnationId &Life = Lives[Event.Target];
  Life = std::max(Life, Event.Incarnation);
  const auto Found = Signs.find(Event.Target);
  if (Found == Signs.end() || Found->second.Incarnation >= Life)
    return;
  // A sign without a life was meant for the first life that shows after it.
  const bool WasUnknown = number(Found->second.Incarnation) == 0;
  learnSign({Event.Target, Life, /*Back=*/!WasUnknown});
}

template <RandomSource Random>
void BasicMembership<Random>::on(const TargetsConfigured &Event,
                                 TimePoint /*Now*/) {
  Configured.emplace(Event.Targets.begin(), Event.Targets.end());
  std::vector<TargetId> Gone;
  for (const auto &[Target, Sign] : Signs)
    if (!Configured->contains(Target))
      Gone.push_back(Target);
  for (TargetId Target : Gone)
    eraseSign(Target);
  std::erase_if(Lives, [&](const auto &Entry) {
    return !Configured->contains(Entry.first);
  });
}

template <RandomSource Random>
void BasicMembership<Random>::on(const VersionFaultDetected &Event,
                                 TimePoint /*Now*/) {
  learnTrip(Event.Trip);
}

template <RandomSource Random>
void BasicMembership<Random>::on(const RevisionAdopted &Event,
                                 TimePoint /*Now*/) {
  if (Event.ConfigRevision <= ConfigRevision)
    return;
  ConfigRevision = Event.ConfigRevision;
  HasNews = true;
}

template <RandomSource Random>
void BasicMembership<Random>::on(const HostDrainStarted & /*Event*/,
                                 TimePoint /*Now*/) {
  Draining = true;
  HasNews = true;
  Out.emplace_back(ZoneViewChanged{});
}

template <RandomSource Random>
void BasicMembership<Random>::on(const HostListRead &Event, TimePoint /*Now*/) {
  Candidates.clear(); // the list lags: it names whom to try, and no more
  for (const HostInfo &Seed : Settings.Seeds)
    offerCandidate(Seed);
  for (const HostInfo &Host : Event.Live)
    offerCandidate(Host);
}

// ---- The passing of time ----------------------------------------------------

template <RandomSource Random>
void BasicMembership<Random>::on(const MembershipTicked & /*Event*/,
                                 TimePoint Now) {
  if (!LastTick) {
    NextHeartbeat = Now;
    probe(FirstProbes, Now);
  }
  noticePause(Now);
  LastTick = Now;
  if (Now >= NextHeartbeat)
    return heartbeatRound(Now);
  if (HasNews && Now >= NextUrgent)
    spreadNews(Now);
}

/// Silence counts only while this host runs: after a pause the others get their
/// whole time again before they are judged.
template <RandomSource Random>
void BasicMembership<Random>::noticePause(TimePoint Now) {
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
void BasicMembership<Random>::judgeSilence(TimePoint Now) {
  const Duration Interval = heartbeatInterval();
  bool AnyForgotten = false;
  for (auto &[Id, Peer] : Members) {
    const Duration Silence = Now - Peer.LastHeard;
    if (Peer.State == HostState::Lost) {
      AnyForgotten = AnyForgotten || Silence >= Settings.ForgetAfter;
      continue;
    }
    if (inOwnZone(Peer.Host))
      judgeZoneMate(Peer, Silence, Interval);
    else if (Silence >= Settings.RemoteLostAfter)
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
void BasicMembership<Random>::judgeZoneMate(Member &Peer, Duration Silence,
                                            Duration Interval) {
  if (Silence >= Interval * Settings.MissedToLose)
    return setState(Peer, HostState::Lost);
  if (Silence >= Interval * Settings.MissedToSuspect)
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
    HasNews = true; // other zones turn away from it, too
  Out.emplace_back(ZoneViewChanged{});
}

template <RandomSource Random>
void BasicMembership<Random>::heartbeatRound(TimePoint Now) {
  judgeSilence(Now);
  const Duration Interval = heartbeatInterval();
  NextHeartbeat = std::max(NextHeartbeat + Interval, Now + Interval / 2);
  heartbeatZone(Now, /*OnlyBehind=*/false);
  heartbeatLinks(Settings.LinksPerInterval, Now);
  probe(Settings.ProbesPerInterval, Now);
  Relays.clear();
  if (HasNews && Now >= NextUrgent)
    spreadNews(Now);
}

/// Sends what is new at once, and only to hosts that don't have it yet.
template <RandomSource Random>
void BasicMembership<Random>::spreadNews(TimePoint Now) {
  HasNews = false;
  NextUrgent = Now + UrgentInterval;
  heartbeatZone(Now, /*OnlyBehind=*/true);
  heartbeatLinks(Settings.UrgentLinks, Now);
}

template <RandomSource Random>
bool BasicMembership<Random>::isBehind(const Member &Peer) const {
  return Peer.NoticesDigest != SignsDigest ||
         Peer.ConfigRevision < ConfigRevision || Draining;
}

template <RandomSource Random>
void BasicMembership<Random>::heartbeatZone(TimePoint Now, bool OnlyBehind) {
  for (const auto &[Id, Peer] : Members) {
    if (!inOwnZone(Peer.Host) || Peer.State == HostState::Lost)
      continue;
    if (OnlyBehind && !isBehind(Peer))
      continue;
    Heartbeat Beat = composeHeartbeat();
    if (Peer.NoticesDigest != SignsDigest)
      addSigns(Beat);
    addRelays(Beat, Now);
    send(Peer.Host, std::move(Beat));
  }
}

template <RandomSource Random>
void BasicMembership<Random>::heartbeatLinks(std::uint32_t Count,
                                             TimePoint Now) {
  for (std::uint32_t Link = 0; Link < Count; ++Link) {
    const Member *Peer = drawLink();
    if (!Peer)
      return;
    Heartbeat Beat = composeHeartbeat();
    if (Peer->NoticesDigest != SignsDigest)
      addSigns(Beat);
    addZoneMates(Beat, Settings.KnownPerLink, Now);
    send(Peer->Host, std::move(Beat));
  }
}

/// Draws a live host of the next zone in a shuffled rotation over all zones, so
/// that no zone waits longer than one round.
template <RandomSource Random>
const Member *BasicMembership<Random>::drawLink() {
  if (LinkOrder.empty())
    refillLinkOrder();
  if (LinkOrder.empty())
    return nullptr;
  const ZoneId Zone = LinkOrder.back();
  LinkOrder.pop_back();
  const Member *Chosen = nullptr;
  std::size_t Seen = 0;
  for (const auto &[Id, Peer] : Members) {
    if (Peer.Host.Zone != Zone || Peer.State != HostState::Live)
      continue;
    if (drawBelow(Source, ++Seen) == 0)
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
    std::swap(LinkOrder[Left - 1], LinkOrder[drawBelow(Source, Left)]);
}

/// Tries hosts that are named but not heard, and lost ones: this is how a new
/// host joins, and how the sides of a cut find each other again.
template <RandomSource Random>
void BasicMembership<Random>::probe(std::size_t Count, TimePoint Now) {
  std::vector<HostInfo> Silent;
  for (const auto &[Id, Host] : Candidates)
    Silent.push_back(Host);
  for (const auto &[Id, Peer] : Members)
    if (Peer.State == HostState::Lost && !Candidates.contains(Id))
      Silent.push_back(Peer.Host);
  for (; Count > 0 && !Silent.empty(); --Count) {
    std::swap(Silent[drawBelow(Source, Silent.size())], Silent.back());
    Heartbeat Beat = composeHeartbeat();
    addZoneMates(Beat, Settings.KnownPerLink, Now);
    send(Silent.back(), std::move(Beat));
    Silent.pop_back();
  }
}

// ---- Heartbeats that leave --------------------------------------------------

template <RandomSource Random>
Heartbeat BasicMembership<Random>::composeHeartbeat() const {
  Heartbeat Beat;
  Beat.Sender = Settings.Self;
  Beat.Incarnation = Settings.Incarnation;
  Beat.ConfigRevision = ConfigRevision;
  Beat.Draining = Draining;
  Beat.NoticesDigest = SignsDigest;
  return Beat;
}

/// Adds the newest signs, and then others in rotation, up to the bound.
template <RandomSource Random>
void BasicMembership<Random>::addSigns(Heartbeat &Beat) {
  const std::size_t Room = Settings.MaxSignsPerHeartbeat;
  Beat.TrippedVersions.assign(Trips.begin(), Trips.end());
  if (Signs.size() <= Room) {
    for (const auto &[Target, Sign] : Signs)
      Beat.LeavingNotices.push_back(Sign);
    return;
  }
  for (std::size_t Back = 0; Back < RecentSigns.size() && Back < Room / 4;
       ++Back)
    Beat.LeavingNotices.push_back(
        Signs[RecentSigns[RecentSigns.size() - 1 - Back]]);
  auto Next = std::next(Signs.begin(),
                        static_cast<std::ptrdiff_t>(SignCursor % Signs.size()));
  while (Beat.LeavingNotices.size() < Room) {
    Beat.LeavingNotices.push_back(Next->second);
    ++SignCursor;
    if (++Next == Signs.end())
      Next = Signs.begin();
  }
}

template <RandomSource Random>
KnownHost BasicMembership<Random>::knownAs(const Member &Peer, TimePoint Now) {
  return {Peer.Host, Peer.Incarnation, Now - Peer.LastHeard, Peer.Draining,
          Peer.ConfigRevision};
}

/// Adds remote hosts that were heard since the last round, the latest first.
template <RandomSource Random>
void BasicMembership<Random>::addRelays(Heartbeat &Beat, TimePoint Now) const {
  for (std::size_t Back = 0;
       Back < Relays.size() && Back < Settings.KnownPerHeartbeat; ++Back) {
    const Member *Peer = member(Relays[Relays.size() - 1 - Back]);
    if (Peer && Peer->State == HostState::Live)
      Beat.KnownHosts.push_back(knownAs(*Peer, Now));
  }
}

/// Adds hosts of the own zone: one that fell silent, then others in rotation.
template <RandomSource Random>
void BasicMembership<Random>::addZoneMates(Heartbeat &Beat, std::size_t Count,
                                           TimePoint Now) {
  if (const Member *Silent = newestSilentMate(Now); Silent && Count > 0) {
    Beat.KnownHosts.push_back(knownAs(*Silent, Now));
    --Count;
  }
  auto Next = Members.upper_bound(KnownCursor);
  for (std::size_t Seen = 0; Seen < Members.size() && Count > 0; ++Seen) {
    if (Next == Members.end())
      Next = Members.begin();
    const auto &[Id, Peer] = *Next++;
    if (!inOwnZone(Peer.Host) || Peer.State != HostState::Live)
      continue;
    Beat.KnownHosts.push_back(knownAs(Peer, Now));
    KnownCursor = Id;
    --Count;
  }
}

/// Returns the zone mate that fell silent last, within the time in which other
/// zones may still take it for alive, or null.
template <RandomSource Random>
const Member *BasicMembership<Random>::newestSilentMate(TimePoint Now) const {
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
void BasicMembership<Random>::send(const HostInfo &To, Heartbeat Beat) {
  Beat.Sequence = ++Sequence;
  Out.emplace_back(SendHeartbeat{To, std::move(Beat)});
}

template class BasicMembership<SplitMix64>;

} // namespace marjorambay
