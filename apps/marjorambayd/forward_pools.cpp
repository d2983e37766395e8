/// Slots of pools: reservations at the arbiter, the local share while no
/// arbiter is reachable, and the selection of targets of plain pools.
#include "forward_host.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace marjorambay {

namespace {

/// Cost factor of a target of another zone, because of the traffic between
/// zones: it is selected if the targets of this host's zone are busier by more
/// than this.
constexpr double CrossZoneCostFactor = 1.5;
/// Assumed response time of a target before its first response, in seconds.
constexpr double InitialResponseSeconds = 0.02;
/// A request that waits for longer for a slot, while targets are cold, is
/// logged as paced: more than the way to the arbiter and back.
constexpr Duration NotableWait = milliseconds(50);
/// After a grant of an arbiter that watches answers.
constexpr Duration AnswerWatchTime = seconds(5);

const ListedTarget *targetOf(const ForwardHost &H, TargetId Id) {
  const auto Found = H.Targets.find(Id);
  return Found == H.Targets.end() ? nullptr : &Found->second;
}

/// Returns the targets that the call must not be granted, apart from those in
/// closed zones: those that asked this host to hold off, those that were
/// granted in spite of their zone, and those that are silent on this call
/// unless there are no others.
std::vector<TargetId> closedTargets(const ForwardHost &H,
                                    const ForwardCall &Call) {
  std::vector<TargetId> Silent = Call.SilentTargets;
  if (Call.Stage == CallStage::Dispatched)
    Silent.push_back(Call.Current.Target);
  std::vector<TargetId> Closed;
  for (const TargetId Returned : Call.ReturnedTargets)
    if (const ListedTarget *Target = targetOf(H, Returned);
        Target != nullptr && !isInReach(H, Call, *Target))
      Closed.push_back(Returned);
  if (Silent.empty() && H.HoldOffs.empty() && H.ColdUnknownUntil.empty())
    return Closed;
  bool AnyOther = false;
  for (const auto &[Id, Target] : H.Targets) {
    if (Target.Pool != Call.Pool)
      continue;
    if (!isOpen(H, Target) || H.ColdUnknownUntil.count(Id) != 0)
      Closed.push_back(Id);
    else if (isInReach(H, Call, Target) && runsServingVersion(H, Target))
      AnyOther = AnyOther ||
                 std::find(Silent.begin(), Silent.end(), Id) == Silent.end();
  }
  if (AnyOther)
    Closed.insert(Closed.end(), Silent.begin(), Silent.end());
  return Closed;
}

Reservation reservationOf(const ForwardHost &H, const ForwardCall &Call,
                          RequestId Id) {
  const ForwardPool *Pool = Call.Table->pool(Call.Pool);
  const std::uint32_t TokensPerEvent =
      Pool == nullptr ? 1 : Pool->TokensPerEvent;
  const TimePoint Now = H.Loop.now();
  Reservation Request;
  Request.Key = reservationKey(H, Id);
  Request.Account = Call.Account;
  Request.Tier = Call.Tier;
  Request.Route = Call.Route->Id;
  Request.Pool = Call.Pool;
  Request.Cost.Prompt = Call.PromptTokens;
  Request.Cost.Output = std::max(TokensPerEvent, Call.OutputHint);
  Request.Cost.MaxOutput = Call.MaxOutput;
  Request.PrefixHash = Call.PrefixHash;
  Request.Remaining = Call.Deadline - Now;
  Request.FirstTokenObjective = std::max<Duration>(
      Duration(1), Call.Arrived + Call.Route->LatencyObjective - Now);
  Request.ClosedTargets = closedTargets(H, Call);
  Request.ClosedZones = closedZones(H, Call);
  Request.CrashKeys = Call.CrashKeys;
  Request.Repeat = Call.MayHaveRun || Call.Stage == CallStage::Dispatched;
  Request.Redirected = Call.Pending.Redirected;
  return Request;
}

/// Returns the call's dispatches that are in progress.
std::vector<const TargetAttempt *> attemptsOf(const ForwardCall &Call) {
  std::vector<const TargetAttempt *> Attempts;
  if (number(Call.Current.HttpCall) != 0)
    Attempts.push_back(&Call.Current);
  if (Call.Replacement)
    Attempts.push_back(&*Call.Replacement);
  return Attempts;
}

/// Returns the zone of the arbiter that grants the slot of \p Attempt now.
ZoneId zoneOf(const ForwardHost &H, PoolId Pool, const TargetAttempt &Attempt) {
  return arbiterZoneOf(H, Pool, Attempt.Target, Attempt.Slot.Zone);
}

void requestLocalShare(ForwardHost &H, ForwardCall &Call) {
  LogLine("own_share_used").with("request", Call.Name);
  Call.Pending.ArbiterHost = HostId{};
  Call.Pending.Zone = ZoneId{};
  stepLocalShare(H, Call.Pool,
                 SlotRequested{reservationOf(H, Call, Call.Pending.Id)});
}

/// Returns the time until a target that the call may reach opens to this host;
/// nullopt if one is open or there is none.
std::optional<Duration> timeToOpen(const ForwardHost &H,
                                   const ForwardCall &Call) {
  if (H.HoldOffs.empty())
    return std::nullopt;
  const TimePoint Now = H.Loop.now();
  std::optional<Duration> Earliest;
  for (const auto &[Id, Target] : H.Targets) {
    if (Target.Pool != Call.Pool || !isInReach(H, Call, Target))
      continue;
    const Duration Left = H.HoldOffs.opensAt(Id, Now) - Now;
    if (Left <= Duration(0))
      return std::nullopt;
    Earliest = std::min(Earliest.value_or(Left), Left);
  }
  return Earliest;
}

// ---- Plain pools ------------------------------------------------------------

/// Whether enough targets are healthy for the others to be ejected.
bool mayEject(const ForwardHost &H, PoolId Pool, TimePoint Now) {
  std::size_t Total = 0;
  std::size_t Usable = 0;
  for (const auto &[Id, Target] : H.Targets) {
    if (Target.Pool != Pool || !isServing(H, Target))
      continue;
    ++Total;
    const auto Health = H.Health.find(Id);
    Usable += Health == H.Health.end() || Health->second.usable(Now) ? 1 : 0;
  }
  return PoolHealth::mayEject(Usable, Total);
}

/// \p Ramps: leave out targets whose ramp allows no further request.
const ListedTarget *selectPlainTarget(ForwardHost &H, const ForwardCall &Call,
                                      VersionId Version, bool Eject,
                                      bool Ramps) {
  const TimePoint Now = H.Loop.now();
  const ListedTarget *Best = nullptr;
  double LowestCost = std::numeric_limits<double>::infinity();
  for (const auto &[Id, Target] : H.Targets) {
    if (Target.Pool != Call.Pool || !maySend(H, Call, Target))
      continue;
    const bool VersionMatches = number(Version) == 0
                                    ? runsServingVersion(H, Target)
                                    : Target.Version == Version;
    const auto Health = H.Health.find(Id);
    const bool Unhealthy =
        Health != H.Health.end() && !Health->second.usable(Now);
    const bool Tried =
        std::find(Call.TriedTargets.begin(), Call.TriedTargets.end(), Id) !=
        Call.TriedTargets.end();
    if (!VersionMatches || Tried || (Unhealthy && Eject))
      continue;
    const LocalTarget &Local = H.LocalTargets[Id];
    if (Ramps && !plainRampAllows(H, Id, Local.InFlight))
      continue;
    const double Time =
        Local.MeanSeconds == 0 ? InitialResponseSeconds : Local.MeanSeconds;
    // Random jitter keeps hosts from selecting the same one of equal targets at
    // the same time.
    const double Cost = (Local.InFlight + 1) * Time *
                        (Target.Zone == H.Self.Zone ? 1 : CrossZoneCostFactor) *
                        (1 + 0.2 * drawFraction(H.Random));
    if (Cost < LowestCost) {
      LowestCost = Cost;
      Best = &Target;
    }
  }
  return Best;
}

void dispatchPlain(ForwardHost &H, ForwardCall &Call) {
  const bool Eject = mayEject(H, Call.Pool, H.Loop.now());
  const VersionId Version = selectVersion(H, Call);
  // A version under rollout is limited by its share, which must be reached.
  const ListedTarget *Target =
      selectPlainTarget(H, Call, Version, Eject, number(Version) == 0);
  if (Target == nullptr && number(Version) != 0)
    Target = selectPlainTarget(H, Call, VersionId{}, Eject, true);
  // Plain pools have no queue: without another target, a ramp does not limit.
  if (Target == nullptr)
    Target = selectPlainTarget(H, Call, VersionId{}, Eject, false);
  if (Target == nullptr)
    Target = selectPlainTarget(H, Call, VersionId{}, false, false);
  const bool Replaces = Call.Stage == CallStage::Dispatched;
  if (Replaces && (Target == nullptr || !admitReplacement(H, Call)))
    return; // the current target may still respond
  if (Target == nullptr)
    return failCall(H, Call, ErrorKind::NoTarget,
                    timeToOpen(H, Call).value_or(NoTargetRetryAfter));
  dispatch(H, Call, *Target, SlotReservation{});
}

/// Opens a reservation for the call, for the caller of this to send.
void openReservation(ForwardHost &H, ForwardCall &Call) {
  Call.Pending = SlotReservation{};
  Call.Pending.Id = static_cast<RequestId>(++H.LastRequest);
  Call.Pending.OpenedAt = H.Loop.now();
  Call.Pending.SentAt = H.Loop.now();
  H.CallsByReservation.emplace(Call.Pending.Id, Call.Id);
}

/// Returns the call's reservation, which no longer waits for an answer.
SlotReservation takePending(ForwardHost &H, ForwardCall &Call) {
  H.CallsByReservation.erase(Call.Pending.Id);
  return std::exchange(Call.Pending, SlotReservation{});
}

} // namespace

bool isOpen(const ForwardHost &H, const ListedTarget &Target) {
  const auto Local = H.LocalTargets.find(Target.Id);
  const std::uint32_t InFlight =
      Local == H.LocalTargets.end() ? 0 : Local->second.InFlight;
  return H.HoldOffs.open(Target.Id, InFlight, H.Loop.now());
}

RequestKey reservationKey(const ForwardHost &H, RequestId Slot) {
  return {H.Self.Id, H.Incarnation, Slot};
}

ForwardCall *findCall(ForwardHost &H, RequestId Id) {
  const auto Found = H.Calls.find(Id);
  return Found == H.Calls.end() ? nullptr : &Found->second;
}

namespace {

/// Refuses a call under which targets would crash, as far as this host knows.
/// Its arbiter may have started anew. Returns whether it was refused.
bool refuseCrashing(ForwardHost &H, ForwardCall &Call) {
  const CrashAdmission Known = H.Pools[Call.Pool].Suspects.admit(
      Call.CrashKeys, Call.MayHaveRun || Call.Stage == CallStage::Dispatched,
      H.Loop.now());
  if (Known.Decision != CrashAdmission::Kind::Refuse)
    return false;
  if (Call.Stage == CallStage::Waiting) // otherwise, it was for a replacement
    failCall(H, Call, ErrorKind::CrashingRequest, Known.RetryAfter);
  return true;
}

/// Whether a call needs a slot: in plain pools, only those do that may crash
/// their target, and all while a target limits its requests.
bool needsSlot(const ForwardHost &H, const ForwardCall &Call) {
  return isEngine(H, Call.Pool) || hasLimitedTargets(H, Call.Pool) ||
         needsWarmupSlot(H, Call.Pool) ||
         H.Pools.at(Call.Pool).Suspects.limits(Call.CrashKeys, H.Loop.now());
}

} // namespace

namespace {

/// Sends the call's reservation to the arbiter that its Pending names.
void sendReservation(ForwardHost &H, ForwardCall &Call) {
  const SlotReservation &Asked = Call.Pending;
  Call.Pending.Acknowledged = Asked.ArbiterHost == H.Self.Id;
  sendToArbiter(H, Asked.ArbiterHost, Call.Pool, Asked.Zone,
                SlotRequested{reservationOf(H, Call, Asked.Id)});
}

/// Reserves at the arbiter of \p Zone on \p Host.
void reserveAt(ForwardHost &H, ForwardCall &Call, ZoneId Zone, HostId Host) {
  Call.Pending.ArbiterHost = Host;
  Call.Pending.Zone = Zone;
  reportSlots(H, Call.Pool, Zone, Host);
  sendReservation(H, Call);
}

} // namespace

void reportSlots(ForwardHost &H, PoolId Pool, ZoneId Zone, HostId To) {
  HostId &Reported = H.Pools[Pool].SlotsReportedTo[Zone];
  if (Reported == To)
    return;
  Reported = To;
  GrantsReported Report;
  Report.Origin = H.Self.Id;
  Report.OriginIncarnation = H.Incarnation;
  for (const auto &[Id, Call] : H.Calls)
    if (Call.Pool == Pool)
      for (const TargetAttempt *Attempt : attemptsOf(Call))
        if (number(Attempt->Slot.Id) != 0 && // plain pools mostly use none
            zoneOf(H, Pool, *Attempt) == Zone)
          Report.Grants.push_back(
              {reservationOf(H, Call, Attempt->Slot.Id), Attempt->Target});
  LogLine Line("arbiter_changed");
  Line.with("pool", static_cast<std::int64_t>(number(Pool)));
  if (number(Zone) != 0)
    Line.with("zone", zoneName(H, Zone));
  Line.with("slots", static_cast<std::int64_t>(Report.Grants.size()));
  sendToArbiter(H, To, Pool, Zone, Report);
}

void requestSlot(ForwardHost &H, ForwardCall &Call) {
  if (refuseCrashing(H, Call) || refuseOutOfReach(H, Call))
    return;
  if (!needsSlot(H, Call))
    return dispatchPlain(H, Call);
  if (const auto Wait = timeToOpen(H, Call)) {
    if (Call.Stage == CallStage::Waiting)
      failCall(H, Call, ErrorKind::Overloaded, *Wait);
    return;
  }
  cancelReservation(H, Call);
  openReservation(H, Call);
  const ZoneId Zone = reservationZone(H, Call.Pool);
  if (const auto Host = arbiterOf(H, Call.Pool, Zone))
    return reserveAt(H, Call, Zone, *Host);
  if (isResuming(H)) { // checkWaiting() tries again
    takePending(H, Call);
    return;
  }
  requestLocalShare(H, Call);
}

void retryReservation(ForwardHost &H, ForwardCall &Call) {
  const ZoneId OwnZone = reservationZone(H, Call.Pool);
  if (isResuming(H) && !arbiterOf(H, Call.Pool, OwnZone))
    return; // the hubs have not been asked since
  const bool Silent = !Call.Pending.Acknowledged && Call.Pending.Retried;
  // The arbiter of another zone was named by that of the own zone, which also
  // notices when it is gone.
  if (Call.Pending.Redirected && (Silent || number(OwnZone) == 0))
    return requestSlot(H, Call);
  const auto Host = Call.Pending.Redirected ? Call.Pending.ArbiterHost
                                            : arbiterOf(H, Call.Pool, OwnZone);
  const bool Same =
      Call.Pending.Redirected ||
      (Host == Call.Pending.ArbiterHost && OwnZone == Call.Pending.Zone);
  if (!Same || Silent) {
    cancelReservation(H, Call);
    if (Host && !Same)
      return requestSlot(H, Call);
    openReservation(H, Call);
    return requestLocalShare(H, Call);
  }
  Call.Pending.Retried = true;
  Call.Pending.SentAt = H.Loop.now();
  sendReservation(H, Call);
}

void cancelReservation(ForwardHost &H, ForwardCall &Call) {
  const SlotReservation Cancelled = takePending(H, Call);
  if (number(Cancelled.Id) == 0)
    return;
  const SlotRequestCancelled Event{reservationKey(H, Cancelled.Id)};
  if (number(Cancelled.ArbiterHost) == 0)
    stepLocalShare(H, Call.Pool, Event);
  else
    sendToArbiter(H, Cancelled.ArbiterHost, Call.Pool, Cancelled.Zone, Event);
}

namespace {

/// Passes an event to the arbiter of \p Zone that has a report of this host's
/// slots.
void informReportedArbiter(ForwardHost &H, PoolId Pool, ZoneId Zone,
                           const ArbiterEvent &Event) {
  const auto &Reported = H.Pools[Pool].SlotsReportedTo;
  const auto Informed = Reported.find(Zone);
  if (Informed != Reported.end())
    sendToArbiter(H, Informed->second, Pool, Zone, Event);
}

/// Passes an event of a slot at \p Target to the arbiters that know of it.
void informSlotArbiters(ForwardHost &H, PoolId Pool, TargetId Target,
                        const SlotReservation &Held,
                        const ArbiterEvent &Event) {
  if (number(Held.ArbiterHost) == 0)
    stepLocalShare(H, Pool, Event);
  informReportedArbiter(H, Pool, arbiterZoneOf(H, Pool, Target, Held.Zone),
                        Event);
}

} // namespace

void releaseSlot(ForwardHost &H, PoolId Pool, TargetId Target,
                 const SlotReservation &Held, const Usage &Used) {
  if (number(Held.Id) != 0)
    informSlotArbiters(H, Pool, Target, Held,
                       SlotReleased{reservationKey(H, Held.Id), Used});
}

void reportAnswerBegan(ForwardHost &H, const ForwardCall &Call) {
  const SlotReservation Held = Call.Current.Slot;
  if (number(Held.Id) != 0 &&
      H.Loop.now() < H.Pools[Call.Pool].WatchAnswersUntil)
    informSlotArbiters(H, Call.Pool, Call.Current.Target, Held,
                       AnswerBegan{reservationKey(H, Held.Id)});
}

namespace {

/// Reports the answers in progress once the arbiter asks for first events.
void watchAnswers(ForwardHost &H, PoolId Pool) {
  const TimePoint Now = H.Loop.now();
  const bool Watched = Now < H.Pools[Pool].WatchAnswersUntil;
  H.Pools[Pool].WatchAnswersUntil = Now + AnswerWatchTime;
  if (Watched)
    return;
  std::vector<RequestId> Begun;
  for (const auto &[Id, Call] : H.Calls)
    if (Call.Pool == Pool && Call.Events.events() > Call.EventsBefore)
      Begun.push_back(Id);
  for (const RequestId Id : Begun)
    if (const ForwardCall *Call = findCall(H, Id))
      reportAnswerBegan(H, *Call);
}

} // namespace

namespace {

/// Tells the arbiter of a plain pool of a crash: of a lost connection, or of a
/// target that takes none. It gets to know of nothing else.
void informPlainArbiter(ForwardHost &H, PoolId Pool,
                        const ArbiterEvent &Event) {
  const bool Starts = std::holds_alternative<AttemptLost>(Event);
  const auto *Refused = std::get_if<TargetRefused>(&Event);
  if (!Starts && (Refused == nullptr || !Refused->Unreachable))
    return;
  const PoolState &State = H.Pools[Pool];
  const auto Hub = arbiterOf(H, Pool);
  if (Hub && *Hub != H.Self.Id)
    sendToArbiter(H, *Hub, Pool, ZoneId{}, Event);
  else if (Hub && (Starts || runsArbiter(H, Pool, ZoneId{})))
    stepArbiter(H, Pool, ZoneId{}, Event);
  else if (!Hub && (Starts || State.LocalShareArbiter))
    stepLocalShare(H, Pool, Event);
}

/// Tells the arbiters of a pool what this host has learned of a target. \p
/// Zone: of the arbiter that granted it, if it is not listed.
void informArbiters(ForwardHost &H, PoolId Pool, TargetId Target, ZoneId Zone,
                    const ArbiterEvent &Event) {
  if (!isEngine(H, Pool))
    return informPlainArbiter(H, Pool, Event);
  if (H.Pools[Pool].LocalShareArbiter)
    stepLocalShare(H, Pool, Event);
  informReportedArbiter(H, Pool, arbiterZoneOf(H, Pool, Target, Zone), Event);
}

} // namespace

void reportTargetRefusal(ForwardHost &H, PoolId Pool, TargetId Target,
                         bool Unreachable) {
  informArbiters(H, Pool, Target, ZoneId{}, TargetRefused{Target, Unreachable});
}

void reportAttemptLost(ForwardHost &H, const ForwardCall &Call,
                       const TargetAttempt &Attempt) {
  if (number(Attempt.Slot.Id) != 0)
    return;
  const TimePoint Now = H.Loop.now();
  AttemptLost Lost{Call.CrashKeys, Attempt.Target, Now - Attempt.DispatchedAt};
  if (const auto SentAt = H.Pools[Call.Pool].Answered.sentAt(Call.CrashKeys))
    Lost.AnsweredAge = Now - *SentAt;
  informArbiters(H, Call.Pool, Attempt.Target, ZoneId{}, Lost);
}

void reportTargetLeaving(ForwardHost &H, PoolId Pool, TargetId Target,
                         IncarnationId Incarnation) {
  informArbiters(H, Pool, Target, ZoneId{}, TargetLeaving{Target, Incarnation});
}

namespace {

/// Returns the slot of a grant whose target can't be used. A request without a
/// target reserves another slot.
void returnGrant(ForwardHost &H, ForwardCall &Call, TargetId Target,
                 const SlotReservation &Granted) {
  Usage Unused;
  Unused.Outcome = DispatchOutcome::NotRun;
  releaseSlot(H, Call.Pool, Target, Granted, Unused);
  if (Call.Stage == CallStage::Dispatched)
    return;
  if (H.Loop.now() < Call.Deadline)
    return requestSlot(H, Call);
  failCall(H, Call, ErrorKind::NoTarget, NoTargetRetryAfter);
}

void handleRefusal(ForwardHost &H, ForwardCall &Call,
                   const RefuseSlot &Refusal) {
  if (Refusal.Kind == ErrorKind::Overloaded && hasColdTargets(H, Call.Pool))
    recordPaced(H, Call, "refused");
  takePending(H, Call);
  if (Call.Stage == CallStage::Dispatched) { // it was for a replacement
    Call.ReplaceAfter =
        std::max(Call.ReplaceAfter, H.Loop.now() + Refusal.RetryAfter);
    return;
  }
  failCall(H, Call,
           Refusal.Kind == ErrorKind::DeadlinePassed ? ErrorKind::Overloaded
                                                     : Refusal.Kind,
           Refusal.RetryAfter);
}

/// Whether a grant rests on what was known before a pause of this process. The
/// slot may have been granted to another host meanwhile.
bool isOutdated(const ForwardHost &H, const SlotReservation &Granted) {
  if (number(Granted.ArbiterHost) == 0)
    return false; // from the local share, which is this host's alone
  return Granted.ArbiterHost == H.Self.Id ? isResuming(H) : H.ReceivingOutdated;
}

void handleGrant(ForwardHost &H, ForwardCall &Call, const GrantSlot &Grant) {
  if (H.Loop.now() - Call.Pending.OpenedAt > NotableWait &&
      hasColdTargets(H, Call.Pool))
    recordPaced(H, Call, Grant.IsPaced ? "waited" : "elsewhere");
  const SlotReservation Granted = takePending(H, Call);
  if (H.Loop.now() >= Call.Deadline || isOutdated(H, Granted)) {
    LogLine("grant_outdated", LogLevel::Warning)
        .with("request", Call.Name)
        .with("waited_ms",
              std::chrono::duration_cast<milliseconds>(
                  H.ReceivingOutdated ? H.Peers.waited() : Duration(0))
                  .count());
    return returnGrant(H, Call, Grant.Target, Granted);
  }
  const TargetId Id = Grant.Target;
  const ListedTarget *Target = targetOf(H, Id);
  // The arbiter has not received the target's leaving notice yet.
  if (Target == nullptr)
    informArbiters(H, Call.Pool, Id, Granted.Zone, TargetRefused{Id});
  else if (Target->Leaving)
    reportTargetLeaving(H, Call.Pool, Target->Id, Target->Incarnation);
  else if (!isInReach(H, Call, *Target))
    recordReturnedGrant(H, Call, *Target);
  const bool Open = Target != nullptr && maySend(H, Call, *Target);
  const bool Usable = Open && mayUseGrant(H, Granted, Grant);
  if (Open && !Usable)
    recordPaced(H, Call, "returned");
  const bool Replaces = Call.Stage == CallStage::Dispatched;
  if (!Usable || (Replaces && !admitReplacement(H, Call)))
    return returnGrant(H, Call, Id, Granted);
  dispatch(H, Call, *Target, Granted);
}

/// Reserves at the arbiter of another zone, as the own zone's arbiter asks.
void handleRedirect(ForwardHost &H, ForwardCall &Call, ZoneId Zone,
                    HostId Host) {
  takePending(H, Call);
  if (number(Host) != 0 && Zone != H.Self.Zone)
    learnZoneArbiter(H, Call.Pool, Zone, Host);
  openReservation(H, Call);
  const auto Known = number(reservationZone(H, Call.Pool)) == 0
                         ? std::nullopt
                         : arbiterOf(H, Call.Pool, Zone);
  if (!Known)
    return requestLocalShare(H, Call);
  Call.Pending.Redirected = true;
  reserveAt(H, Call, Zone, *Known);
}

} // namespace

void handleArbiterAction(ForwardHost &H, const ArbiterAction &Action,
                         HostId RedirectHost) {
  const RequestKey Key = std::visit(
      [](const auto &Alternative) { return Alternative.Key; }, Action);
  const auto Slot = H.CallsByReservation.find(Key.Id);
  ForwardCall *Call = Key.OriginIncarnation == H.Incarnation &&
                              Slot != H.CallsByReservation.end()
                          ? findCall(H, Slot->second)
                          : nullptr;
  if (Call == nullptr)
    return; // the reservation has ended; confirmSlots() frees its slot
  if (const auto *Refusal = std::get_if<RefuseSlot>(&Action))
    return handleRefusal(H, *Call, *Refusal);
  if (const auto *Redirect = std::get_if<RedirectSlot>(&Action))
    return handleRedirect(H, *Call, Redirect->Zone, RedirectHost);
  const auto *Grant = std::get_if<GrantSlot>(&Action);
  if (Grant == nullptr)
    return;
  if (Grant->WatchAnswers)
    watchAnswers(H, Call->Pool);
  handleGrant(H, *Call, *Grant);
}

void confirmSlots(ForwardHost &H) {
  std::map<std::pair<PoolId, ZoneId>, SlotsConfirmed> Confirmed;
  for (const auto &[Pool, State] : H.Pools)
    for (const auto &[Zone, Host] : State.SlotsReportedTo)
      Confirmed[{Pool, Zone}] = SlotsConfirmed{H.Self.Id, H.Incarnation};
  const auto Add = [&Confirmed](PoolId Pool, ZoneId Zone, RequestId Id) {
    const auto Found = Confirmed.find({Pool, Zone});
    if (Found != Confirmed.end() && number(Id) != 0)
      Found->second.ActiveRequests.insert(Id);
  };
  for (const auto &[Id, Call] : H.Calls) {
    Add(Call.Pool, Call.Pending.Zone, Call.Pending.Id);
    for (const TargetAttempt *Attempt : attemptsOf(Call))
      Add(Call.Pool, zoneOf(H, Call.Pool, *Attempt), Attempt->Slot.Id);
  }
  for (const auto &[Key, Slots] : Confirmed) {
    const auto &[Pool, Zone] = Key;
    if (number(Zone) != 0)
      checkZoneArbiter(H, Pool, Zone);
    auto &Reported = H.Pools[Pool].SlotsReportedTo;
    const auto Informed = Reported.find(Zone);
    if (Informed == Reported.end())
      continue;
    sendToArbiter(H, Informed->second, Pool, Zone, Slots);
    // Another zone's arbiter gets a new report with the next redirect.
    if (number(Zone) != 0 && Zone != H.Self.Zone &&
        Slots.ActiveRequests.empty())
      Reported.erase(Zone);
  }
}

} // namespace marjorambay
