/// Arbiters that this host runs: of pools, of single zones of divided pools,
/// and of its local share.
#include "forward_host.h"

#include <algorithm>
#include <utility>

namespace marjorambay {

namespace {

/// An arbiter releases the slots of an origin that was not heard from for this
/// long.
constexpr Duration OriginTimeout = milliseconds(2500);
/// An arbiter that another host has taken over ends after this time without a
/// reservation. Hosts may disagree on the arbiter for about a second.
constexpr Duration ArbiterIdleTimeout = milliseconds(2500);
/// Minimum share of an engine pool's slots for each tier that has waiting
/// requests: enough for a tenth of the slots that long answers of the lowest
/// tier occupy, so that no kind of request and no account starves.
constexpr double TierFloor = 0.05;
/// Callers abandon a stream without a first event after four times its
/// objective, or two seconds if that is longer. A request waits for three
/// quarters of that.
constexpr double FirstTokenPatience = 3;
constexpr Duration MinFirstTokenPatience = milliseconds(1500);
/// See ArbiterSettings::AdmissionMargin. With half of the time, nearly all that
/// are admitted are on time, and the queue is long enough to fill all slots.
constexpr double AdmissionMargin = 0.5;

TargetInfo infoOf(const ForwardHost &H, const ListedTarget &Target) {
  TargetInfo Info;
  Info.Id = Target.Id;
  Info.Pool = Target.Pool;
  Info.Zone = Target.Zone;
  Info.Version = Target.Version;
  Info.MaxRequestsInFlight = Target.Slots;
  Info.Leaving = Target.Leaving;
  Info.Evacuated = H.Evacuations.evacuated(Target.Zone);
  Info.Incarnation = Target.Incarnation;
  Info.ListedFor = listedFor(H, Target.Id);
  return Info;
}

/// Returns the targets that the arbiter of \p Zone grants.
std::vector<TargetInfo> targetsOf(const ForwardHost &H, PoolId Pool,
                                  ZoneId Zone) {
  std::vector<TargetInfo> Targets;
  for (const auto &[Id, Target] : H.Targets)
    if (Target.Pool == Pool &&
        (number(Zone) == 0 || servingZone(H, Target.Zone) == Zone))
      Targets.push_back(infoOf(H, Target));
  return Targets;
}

/// Returns the targets with this host's local share of their slots: at least
/// one slot of each, so that every target stays reachable. In a divided pool,
/// these are the targets of the own zone, or all if it has none.
std::vector<TargetInfo> localShareOf(const ForwardHost &H, PoolId Pool) {
  const ZoneId OwnZone = reservationZone(H, Pool);
  std::vector<TargetInfo> Targets = targetsOf(H, Pool, OwnZone);
  if (Targets.empty())
    Targets = targetsOf(H, Pool, ZoneId{});
  for (TargetInfo &Target : Targets) {
    const std::size_t Hosts = std::max<std::size_t>(
        1, number(OwnZone) == 0 ? fleetSize(H)
                                : sharingHosts(H, Pool, Target.Zone));
    Target.MaxRequestsInFlight = static_cast<std::uint32_t>(
        (Target.MaxRequestsInFlight + Hosts - 1) / Hosts);
  }
  return Targets;
}

ArbiterSettings arbiterSettings(const ForwardHost &H, ZoneId Zone) {
  ArbiterSettings Settings;
  Settings.Targets.StartRamps = H.Settings.StartRamp;
  Settings.Targets.TrustDeclaredSlots = true;
  Settings.TierFloor = TierFloor;
  Settings.FirstTokenPatience = FirstTokenPatience;
  Settings.MinFirstTokenPatience = MinFirstTokenPatience;
  Settings.AdmissionMargin = AdmissionMargin;
  Settings.Zone = Zone;
  return Settings;
}

/// Passes what this host knows to a new arbiter.
void prepareArbiter(ForwardHost &H, PoolId Pool, ZoneId Zone, Arbiter &Policy) {
  const TimePoint Now = H.Loop.now();
  PoolState &State = H.Pools[Pool];
  const bool IsLocalShare = &Policy == State.LocalShareArbiter.get();
  publishVersions(H, Pool, Policy);
  Policy.step(TargetsChanged{IsLocalShare ? localShareOf(H, Pool)
                                          : targetsOf(H, Pool, Zone)},
              Now);
  Policy.step(CrashHoldsLearned{State.Suspects.holds(Now)}, Now);
  for (const ArbiterEvent &Event : paceEvents(H, Pool, Zone, IsLocalShare))
    Policy.step(Event, Now);
}

Arbiter &hostedArbiter(ForwardHost &H, PoolId Pool, ZoneId Zone) {
  PoolArbiter &Hosted = H.Pools[Pool].Arbiters[Zone];
  if (!Hosted.Policy) {
    Hosted.Policy = std::make_unique<Arbiter>(arbiterSettings(H, Zone));
    if (number(Zone) == 0)
      LogLine("arbiter_started")
          .with("pool", static_cast<std::int64_t>(number(Pool)));
    else
      LogLine("zone_arbiter_started")
          .with("pool", static_cast<std::int64_t>(number(Pool)))
          .with("zone", zoneName(H, Zone))
          .with("targets", targetsOf(H, Pool, Zone).size());
    prepareArbiter(H, Pool, Zone, *Hosted.Policy);
  }
  return *Hosted.Policy;
}

Arbiter &localShareArbiter(ForwardHost &H, PoolId Pool) {
  std::unique_ptr<Arbiter> &LocalShare = H.Pools[Pool].LocalShareArbiter;
  if (!LocalShare) {
    LocalShare = std::make_unique<Arbiter>(arbiterSettings(H, ZoneId{}));
    prepareArbiter(H, Pool, ZoneId{}, *LocalShare);
  }
  return *LocalShare;
}

/// Logs if the end of a request made the arbiter eject its target.
void logIfEjected(const ForwardHost &H, const Arbiter &Policy,
                  const SlotReleased &Released, TargetId Target,
                  bool WasUsable) {
  const TimePoint Now = H.Loop.now();
  if (!WasUsable || Policy.targets().usable(Target, Now))
    return;
  const auto Listed = H.Targets.find(Target);
  LogLine("target_left_out", LogLevel::Warning)
      .with("target",
            Listed == H.Targets.end() ? "unlisted" : Listed->second.Name)
      .with("end", nameOf(Released.Used.Outcome));
}

/// Notes that a target may have restarted, before the origin's notice arrives.
/// \p Slotted: target of the slot that the event ends.
void noteLostTarget(ForwardHost &H, const ArbiterEvent &Event,
                    TargetId Slotted) {
  TargetId Lost{};
  if (const auto *Released = std::get_if<SlotReleased>(&Event))
    Lost = Released->Used.ConnectionLost ? Slotted : TargetId{};
  else if (const auto *Attempt = std::get_if<AttemptLost>(&Event))
    Lost = Attempt->Target;
  else if (const auto *Refused = std::get_if<TargetRefused>(&Event))
    Lost = Refused->Unreachable ? Refused->Target : TargetId{};
  const auto Target = H.Targets.find(Lost);
  if (Target != H.Targets.end() && !H.Warmups.awaitsResponse(Lost))
    recordTargetLost(H, Lost, Target->second.Incarnation);
}

/// Performs an action of the arbiter of \p Zone.
void performAction(ForwardHost &H, PoolId Pool, ZoneId Zone,
                   const ArbiterAction &Action) {
  const RequestKey Key = std::visit(
      [](const auto &Alternative) { return Alternative.Key; }, Action);
  HostId RedirectHost{};
  if (const auto *Redirect = std::get_if<RedirectSlot>(&Action))
    RedirectHost = recordRedirect(H, Pool, Redirect->Zone);
  if (Key.Origin == H.Self.Id)
    return handleArbiterAction(H, Action, RedirectHost);
  OriginMessage Message{Pool, Action, Zone, RedirectHost};
  if (auto *Grant = std::get_if<GrantSlot>(&Message.Action);
      Grant != nullptr && Grant->IsPaced && !Grant->IsRepeated)
    Grant->HeardSequence =
        H.Leases.heardSequence(Key.Origin, Key.OriginIncarnation);
  sendTo(H, Key.Origin, Message);
}

/// Performs the actions of an arbiter of this host. Those that follow from the
/// action being performed wait for its end: a grant that is returned frees the
/// slot for the next request, so that calls would nest as deep as the queue is
/// long.
void performActions(ForwardHost &H, const ArbiterSource &Source,
                    const ArbiterActions &Actions) {
  for (const ArbiterAction &Action : Actions)
    H.ArbiterResults.push_back({Source, Action});
  if (H.PerformingActions)
    return;
  H.PerformingActions = true;
  while (!H.ArbiterResults.empty()) {
    const ArbiterResult Next = H.ArbiterResults.front();
    H.ArbiterResults.pop_front();
    if (Next.Source.IsLocalShare)
      handleArbiterAction(H, Next.Action);
    else
      performAction(H, Next.Source.Pool, Next.Source.Zone, Next.Action);
  }
  H.PerformingActions = false;
}

/// Returns the pools and zones whose arbiters run here. Stepping an arbiter may
/// start another one.
std::vector<std::pair<PoolId, ZoneId>> hostedArbiters(const ForwardHost &H) {
  std::vector<std::pair<PoolId, ZoneId>> Hosted;
  for (const auto &[Pool, State] : H.Pools)
    for (const auto &[Zone, Entry] : State.Arbiters)
      Hosted.emplace_back(Pool, Zone);
  return Hosted;
}

/// Logs the load of each pool that is arbitrated here and has work.
void logPools(const ForwardHost &H) {
  for (const auto &[Pool, Zone] : hostedArbiters(H)) {
    const Arbiter &Policy = *H.Pools.at(Pool).Arbiters.at(Zone).Policy;
    if (Policy.idle())
      continue;
    const ArbiterView View = Policy.view(H.Loop.now());
    std::string Queued;
    for (const std::size_t Count : View.Queued)
      Queued += std::to_string(Count) + ",";
    LogLine Line("pool_load");
    Line.with("pool", static_cast<std::int64_t>(number(Pool)));
    if (number(Zone) != 0)
      Line.with("zone", zoneName(H, Zone));
    Line.with("queued", Queued)
        .with("in_flight", static_cast<std::int64_t>(View.InFlight))
        .with("limit", static_cast<std::int64_t>(View.Limit))
        .with("declared", static_cast<std::int64_t>(View.Declared))
        .with("tokens_per_second", static_cast<std::int64_t>(View.Capacity));
    if (H.Settings.StartRamp)
      Line.with("ramping", static_cast<std::int64_t>(View.Ramping));
  }
}

/// Ends the arbiters whose pool or zone is arbitrated elsewhere. Their slots
/// were reported to the arbiter there.
void endUnusedArbiters(ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  for (const auto &[Pool, Zone] : hostedArbiters(H)) {
    PoolState &State = H.Pools[Pool];
    const PoolArbiter &Hosted = State.Arbiters[Zone];
    const bool Divided = State.Division.divided();
    const bool Current =
        Divided == (number(Zone) != 0) && arbiterOf(H, Pool, Zone) == H.Self.Id;
    if (Current || Now - Hosted.ReservedAt <= ArbiterIdleTimeout)
      continue;
    if (number(Zone) != 0)
      LogLine("zone_arbiter_ended")
          .with("pool", static_cast<std::int64_t>(number(Pool)))
          .with("zone", zoneName(H, Zone))
          .with("divided", Divided ? "yes" : "no");
    State.Arbiters.erase(Zone);
  }
}

/// Reports each origin that was not heard from to all arbiters, once until it
/// is heard again.
void reportLostOrigins(ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  for (auto &[Id, Peer] : H.Fleet) {
    if (Peer.HeardAt == TimePoint{} || Peer.ReportedLost ||
        // Nobody could be heard during a pause of this process.
        Now - std::max(Peer.HeardAt, H.Loop.resumedAt()) <= OriginTimeout)
      continue;
    Peer.ReportedLost = true;
    for (const auto &[Pool, Zone] : hostedArbiters(H))
      stepArbiter(H, Pool, Zone, OriginLost{Id, Peer.Incarnation});
  }
}

} // namespace

bool isEngine(const ForwardHost &H, PoolId Pool) {
  const ForwardPool *Config = H.Table ? H.Table->pool(Pool) : nullptr;
  return Config != nullptr && Config->Engine;
}

bool runsArbiter(const ForwardHost &H, PoolId Pool, ZoneId Zone) {
  const auto Found = H.Pools.find(Pool);
  return Found != H.Pools.end() && Found->second.Arbiters.count(Zone) != 0;
}

void stepLocalShare(ForwardHost &H, PoolId Pool, const ArbiterEvent &Event) {
  Arbiter &LocalShare = localShareArbiter(H, Pool);
  const ArbiterActions Actions = LocalShare.step(Event, H.Loop.now());
  publishCrashDecisions(H, Pool, LocalShare);
  publishRampChanges(H, Pool, LocalShare);
  performActions(H, {Pool, ZoneId{}, /*IsLocalShare=*/true}, Actions);
}

void stepArbiter(ForwardHost &H, PoolId Pool, ZoneId Zone,
                 const ArbiterEvent &Event) {
  Arbiter &Policy = hostedArbiter(H, Pool, Zone);
  const auto *Released = std::get_if<SlotReleased>(&Event);
  const Slot *EndedSlot =
      Released == nullptr ? nullptr : Policy.slot(Released->Key);
  const TargetId Target = EndedSlot == nullptr ? TargetId{} : EndedSlot->Target;
  const bool WasUsable = Policy.targets().usable(Target, H.Loop.now());
  noteLostTarget(H, Event, Target);
  const auto *Requested = std::get_if<SlotRequested>(&Event);
  if (Requested != nullptr)
    recordReservation(H, Pool, Zone, Requested->Request);
  const ArbiterActions Actions = Policy.step(Event, H.Loop.now());
  publishCrashDecisions(H, Pool, Policy);
  publishRampChanges(H, Pool, Policy);
  if (number(Zone) != 0)
    shareLostAttempts(H, Pool, Zone, Policy);
  if (number(Target) != 0)
    logIfEjected(H, Policy, *Released, Target, WasUsable);
  performActions(H, {Pool, Zone}, Actions);
  if (Requested != nullptr && Requested->Request.Key.Origin != H.Self.Id &&
      Policy.queued(Requested->Request.Key))
    sendTo(H, Requested->Request.Key.Origin,
           ReservationQueued{Requested->Request.Key});
}

void sendToArbiter(ForwardHost &H, HostId To, PoolId Pool, ZoneId Zone,
                   const ArbiterEvent &Event) {
  if (To == H.Self.Id)
    stepArbiter(H, Pool, Zone, Event);
  else
    sendTo(H, To, ArbiterMessage{Pool, Event, Zone});
}

void learnCrashHold(ForwardHost &H, const PoolCrashHold &Learned) {
  PoolState &State = H.Pools[Learned.Pool];
  if (!State.Suspects.learn(Learned.Hold, H.Loop.now()))
    return;
  const CrashHoldsLearned Event{{Learned.Hold}};
  for (const ZoneId Zone : hostedZones(State))
    stepArbiter(H, Learned.Pool, Zone, Event);
  if (State.LocalShareArbiter)
    stepLocalShare(H, Learned.Pool, Event);
}

std::vector<ZoneId> hostedZones(const PoolState &State) {
  std::vector<ZoneId> Zones;
  for (const auto &[Zone, Hosted] : State.Arbiters)
    Zones.push_back(Zone);
  return Zones;
}

void publishTargets(ForwardHost &H, PoolId Pool) {
  PoolState &State = H.Pools[Pool];
  for (const ZoneId Zone : hostedZones(State)) {
    publishVersions(H, Pool, *State.Arbiters[Zone].Policy);
    stepArbiter(H, Pool, Zone, TargetsChanged{targetsOf(H, Pool, Zone)});
  }
  if (State.LocalShareArbiter) {
    publishVersions(H, Pool, *State.LocalShareArbiter);
    stepLocalShare(H, Pool, TargetsChanged{localShareOf(H, Pool)});
  }
}

void tickArbiters(ForwardHost &H) {
  renewPaceLeases(H);
  for (const auto &[Pool, Zone] : hostedArbiters(H))
    if (!isResuming(H) && H.Pools[Pool].Arbiters[Zone].Policy->needsTicks())
      stepArbiter(H, Pool, Zone, ArbiterTicked{});
  std::vector<PoolId> Pools;
  for (const auto &[Pool, State] : H.Pools)
    if (State.LocalShareArbiter && State.LocalShareArbiter->needsTicks())
      Pools.push_back(Pool);
  for (const PoolId Pool : Pools)
    stepLocalShare(H, Pool, ArbiterTicked{});
}

void reviewArbiters(ForwardHost &H) {
  logPools(H);
  endUnusedArbiters(H);
  reportLostOrigins(H);
}

} // namespace marjorambay
