/// Slots of pools: reservations at the arbiter, the local share while no
/// arbiter is reachable, and the selection of targets of plain pools.
#include "forward_host.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjorambay {

namespace {

/// Cost factor of a target of another zone, because of the traffic between
/// zones: it is selected if the targets of this host's zone are busier by more
/// than this.
constexpr double OtherZoneCost = 1.5;
/// Assumed response time of a target before its first response, in seconds.
constexpr double GuessedSeconds = 0.02;
/// An arbiter releases the slots of an origin that was not heard from for this
/// long.
constexpr Duration OriginPatience = milliseconds(2500);
/// Minimum share of an engine pool's slots for each tier that has waiting
/// requests: enough for a tenth of the slots that long answers of the lowest
/// tier occupy, so that no kind of request and no account starves.
constexpr double TierFloor = 0.05;
constexpr Duration NoTargetRetry = milliseconds(800);

const ListedTarget *targetOf(const ForwardHost &H, TargetId Id) {
  const auto Found = H.Targets.find(Id);
  return Found == H.Targets.end() ? nullptr : &Found->second;
}

TargetInfo infoOf(const ListedTarget &Target) {
  TargetInfo Info;
  Info.Id = Target.Id;
  Info.Pool = Target.Pool;
  Info.Zone = Target.Zone;
  Info.Version = Target.Version;
  Info.MaxRequestsInFlight = Target.Slots;
  Info.Leaving = Target.Leaving;
  Info.Incarnation = Target.Incarnation;
  return Info;
}

std::vector<TargetInfo> targetsOf(const ForwardHost &H, PoolId Pool) {
  std::vector<TargetInfo> Targets;
  for (const auto &[Id, Each] : H.Targets)
    if (Each.Pool == Pool)
      Targets.push_back(infoOf(Each));
  return Targets;
}

/// Returns the targets with this host's local share of their slots: at least
/// one slot of each, so that every target stays reachable.
std::vector<TargetInfo> shareOf(const ForwardHost &H, PoolId Pool) {
  std::vector<TargetInfo> Targets = targetsOf(H, Pool);
  const std::size_t Hosts = std::max<std::size_t>(1, fleetSize(H));
  for (TargetInfo &Each : Targets)
    Each.MaxRequestsInFlight = static_cast<std::uint32_t>(
        (Each.MaxRequestsInFlight + Hosts - 1) / Hosts);
  return Targets;
}

bool isEngine(const ForwardHost &H, PoolId Pool) {
  const ForwardPool *Known = H.Table ? H.Table->pool(Pool) : nullptr;
  return Known != nullptr && Known->Engine;
}

ArbiterSettings arbiterSettings() {
  ArbiterSettings Made;
  Made.Targets.TrustDeclaredSlots = true;
  Made.TierFloor = TierFloor;
  return Made;
}

Arbiter &wholeArbiter(ForwardHost &H, PoolId Pool) {
  std::unique_ptr<Arbiter> &Held = H.Pools[Pool].Whole;
  if (!Held) {
    Held = std::make_unique<Arbiter>(arbiterSettings());
    LogLine("arbiter_started")
        .with("pool", static_cast<std::int64_t>(number(Pool)));
    tellVersions(H, Pool, *Held);
    Held->step(TargetsChanged{targetsOf(H, Pool)}, H.Loop.now());
  }
  return *Held;
}

Arbiter &shareArbiter(ForwardHost &H, PoolId Pool) {
  std::unique_ptr<Arbiter> &Held = H.Pools[Pool].Share;
  if (!Held) {
    Held = std::make_unique<Arbiter>(arbiterSettings());
    tellVersions(H, Pool, *Held);
    Held->step(TargetsChanged{shareOf(H, Pool)}, H.Loop.now());
  }
  return *Held;
}

Reservation reservationOf(const ForwardHost &H, const ForwardCall &Call) {
  const ForwardPool *Pool = Call.Table->pool(Call.Pool);
  const std::uint32_t Each = Pool == nullptr ? 1 : Pool->TokensPerEvent;
  const TimePoint Now = H.Loop.now();
  Reservation Asked;
  Asked.Key = slotKey(H, Call.Slot);
  Asked.Account = Call.Account;
  Asked.Tier = Call.Tier;
  Asked.Route = Call.Route->Id;
  Asked.Pool = Call.Pool;
  Asked.Cost.Prompt = Call.PromptTokens;
  Asked.Cost.Output = std::max(Each, Call.OutputHint);
  Asked.Cost.MaxOutput = Call.MaxOutput;
  Asked.PrefixHash = Call.Prefix;
  Asked.Remaining = Call.Deadline - Now;
  Asked.FirstTokenObjective = std::max<Duration>(
      Duration(1), Call.Arrived + Call.Route->LatencyObjective - Now);
  return Asked;
}

void send(ForwardHost &H, HostId To, PoolId Pool, const ArbiterEvent &Event) {
  sendTo(H, To, ArbiterMessage{Pool, Event});
}

/// Reports the slots in use on this host to an arbiter that has no report yet.
void reportSlots(ForwardHost &H, PoolId Pool, HostId To) {
  PoolState &Held = H.Pools[Pool];
  if (Held.ReportedTo == To)
    return;
  Held.ReportedTo = To;
  GrantsReported Report;
  Report.Origin = H.Self.Id;
  Report.OriginIncarnation = H.Incarnation;
  for (const auto &[Id, Call] : H.Calls)
    if (Call.Pool == Pool && Call.Stage == CallStage::Dispatched)
      Report.Grants.push_back({reservationOf(H, Call), Call.At});
  LogLine("arbiter_changed")
      .with("pool", static_cast<std::int64_t>(number(Pool)))
      .with("slots", static_cast<std::int64_t>(Report.Grants.size()));
  if (To == H.Self.Id)
    toArbiter(H, Pool, Report);
  else
    send(H, To, Pool, Report);
}

/// Steps the local-share arbiter and performs its actions.
void stepShare(ForwardHost &H, PoolId Pool, const ArbiterEvent &Event) {
  const ArbiterActions Actions =
      shareArbiter(H, Pool).step(Event, H.Loop.now());
  for (const ArbiterAction &Action : Actions)
    fromArbiter(H, Pool, Action);
}

void askShare(ForwardHost &H, ForwardCall &Call) {
  LogLine("own_share_used").with("request", Call.Name);
  Call.Arbiter = HostId{};
  stepShare(H, Call.Pool, SlotRequested{reservationOf(H, Call)});
}

// ---- Plain pools ------------------------------------------------------------

/// Whether enough targets are healthy for the others to be ejected.
bool mayEject(const ForwardHost &H, PoolId Pool, TimePoint Now) {
  std::size_t All = 0;
  std::size_t Usable = 0;
  for (const auto &[Id, Each] : H.Targets) {
    if (Each.Pool != Pool || Each.Leaving)
      continue;
    ++All;
    const auto Health = H.Health.find(Id);
    Usable += Health == H.Health.end() || Health->second.usable(Now) ? 1 : 0;
  }
  return PoolHealth::mayEject(Usable, All);
}

const ListedTarget *choosePlain(ForwardHost &H, const ForwardCall &Call,
                                VersionId Wanted, bool Eject) {
  const TimePoint Now = H.Loop.now();
  const ListedTarget *Best = nullptr;
  double Least = std::numeric_limits<double>::infinity();
  for (const auto &[Id, Each] : H.Targets) {
    if (Each.Pool != Call.Pool || Each.Leaving)
      continue;
    const bool Fits =
        number(Wanted) == 0 ? versionOpen(H, Each) : Each.Version == Wanted;
    const auto Health = H.Health.find(Id);
    const bool Bad = Health != H.Health.end() && !Health->second.usable(Now);
    const bool Tried =
        std::find(Call.Tried.begin(), Call.Tried.end(), Id) != Call.Tried.end();
    if (!Fits || Tried || (Bad && Eject))
      continue;
    const LocalTarget &Local = H.Local[Id];
    const double Time = Local.Seconds == 0 ? GuessedSeconds : Local.Seconds;
    // Random jitter keeps hosts from selecting the same one of equal targets at
    // the same time.
    const double Cost = (Local.InFlight + 1) * Time *
                        (Each.Zone == H.Self.Zone ? 1 : OtherZoneCost) *
                        (1 + 0.2 * drawFraction(H.Random));
    if (Cost < Least) {
      Least = Cost;
      Best = &Each;
    }
  }
  return Best;
}

void askPlain(ForwardHost &H, ForwardCall &Call) {
  const bool Eject = mayEject(H, Call.Pool, H.Loop.now());
  const VersionId Drawn = drawVersion(H, Call.Pool);
  const ListedTarget *To = choosePlain(H, Call, Drawn, Eject);
  if (To == nullptr && number(Drawn) != 0)
    To = choosePlain(H, Call, VersionId{}, Eject);
  if (To == nullptr)
    To = choosePlain(H, Call, VersionId{}, false);
  if (To == nullptr)
    return failCall(H, Call, ErrorKind::NoTarget, NoTargetRetry);
  dispatch(H, Call, *To);
}

} // namespace

RequestKey slotKey(const ForwardHost &H, RequestId Slot) {
  return {H.Self.Id, H.Incarnation, Slot};
}

ForwardCall *callOf(ForwardHost &H, RequestId Id) {
  const auto Found = H.Calls.find(Id);
  return Found == H.Calls.end() ? nullptr : &Found->second;
}

void askForSlot(ForwardHost &H, ForwardCall &Call) {
  Call.Stage = CallStage::Waiting;
  if (!isEngine(H, Call.Pool))
    return askPlain(H, Call);
  H.BySlot.erase(Call.Slot);
  Call.Slot = static_cast<RequestId>(++H.LastRequest);
  H.BySlot.emplace(Call.Slot, Call.Id);
  Call.AskedAt = H.Loop.now();
  Call.Acknowledged = false;
  const auto Hub = arbiterOf(H, Call.Pool);
  if (!Hub)
    return askShare(H, Call);
  Call.Arbiter = *Hub;
  reportSlots(H, Call.Pool, *Hub);
  if (*Hub == H.Self.Id) {
    Call.Acknowledged = true;
    return toArbiter(H, Call.Pool, SlotRequested{reservationOf(H, Call)});
  }
  send(H, *Hub, Call.Pool, SlotRequested{reservationOf(H, Call)});
}

void askAgain(ForwardHost &H, ForwardCall &Call) {
  const auto Hub = arbiterOf(H, Call.Pool);
  const bool Same = Hub && *Hub == Call.Arbiter;
  const bool Silent = !Call.Acknowledged && Call.AskedTwice;
  if (!Same || Silent) {
    withdrawSlot(H, Call);
    Call.AskedTwice = false;
    if (Hub && !Same)
      return askForSlot(H, Call);
    return askShare(H, Call);
  }
  Call.AskedTwice = true;
  Call.AskedAt = H.Loop.now();
  if (*Hub == H.Self.Id)
    return toArbiter(H, Call.Pool, SlotRequested{reservationOf(H, Call)});
  Call.Acknowledged = false;
  send(H, *Hub, Call.Pool, SlotRequested{reservationOf(H, Call)});
}

void withdrawSlot(ForwardHost &H, ForwardCall &Call) {
  if (Call.Stage != CallStage::Waiting || number(Call.Slot) == 0)
    return;
  const SlotRequestCancelled Event{slotKey(H, Call.Slot)};
  H.BySlot.erase(Call.Slot);
  if (number(Call.Arbiter) == 0)
    stepShare(H, Call.Pool, Event);
  else if (Call.Arbiter == H.Self.Id)
    toArbiter(H, Call.Pool, Event);
  else
    send(H, Call.Arbiter, Call.Pool, Event);
  Call.Slot = static_cast<RequestId>(++H.LastRequest);
  H.BySlot.emplace(Call.Slot, Call.Id);
}

void releaseSlot(ForwardHost &H, ForwardCall &Call, const Usage &Used) {
  if (number(Call.Slot) == 0)
    return;
  const SlotReleased Event{slotKey(H, Call.Slot), Used};
  H.BySlot.erase(Call.Slot);
  Call.Slot = RequestId{};
  if (number(Call.Arbiter) == 0)
    stepShare(H, Call.Pool, Event);
  const HostId Knows = H.Pools[Call.Pool].ReportedTo;
  if (Knows == H.Self.Id)
    toArbiter(H, Call.Pool, Event);
  else if (number(Knows) != 0)
    send(H, Knows, Call.Pool, Event);
}

void reportRefusal(ForwardHost &H, PoolId Pool, TargetId Target) {
  if (!isEngine(H, Pool))
    return;
  const TargetRefused Event{Target};
  if (H.Pools[Pool].Share)
    stepShare(H, Pool, Event);
  const HostId Knows = H.Pools[Pool].ReportedTo;
  if (Knows == H.Self.Id)
    toArbiter(H, Pool, Event);
  else if (number(Knows) != 0)
    send(H, Knows, Pool, Event);
}

namespace {

/// Logs if the end of a request made the arbiter eject its target.
void logIfLeftOut(const ForwardHost &H, const Arbiter &Policy,
                  const SlotReleased &Released, TargetId Target,
                  bool WasUsable) {
  const TimePoint Now = H.Loop.now();
  if (!WasUsable || Policy.targets().usable(Target, Now))
    return;
  const ListedTarget *Known = targetOf(H, Target);
  LogLine("target_left_out", LogLevel::Warning)
      .with("target", Known == nullptr ? "unlisted" : Known->Name)
      .with("end", nameOf(Released.Used.Outcome));
}

} // namespace

void toArbiter(ForwardHost &H, PoolId Pool, const ArbiterEvent &Event) {
  Arbiter &Held = wholeArbiter(H, Pool);
  const auto *Released = std::get_if<SlotReleased>(&Event);
  const Slot *Ended = Released == nullptr ? nullptr : Held.slot(Released->Key);
  const TargetId At = Ended == nullptr ? TargetId{} : Ended->Target;
  const bool WasUsable = Held.targets().usable(At, H.Loop.now());
  if (std::holds_alternative<SlotRequested>(Event))
    H.Pools[Pool].WholeUsedAt = H.Loop.now();
  const ArbiterActions Actions = Held.step(Event, H.Loop.now());
  if (number(At) != 0)
    logIfLeftOut(H, Held, *Released, At, WasUsable);
  for (const ArbiterAction &Action : Actions) {
    const HostId Origin =
        std::visit([](const auto &Known) { return Known.Key.Origin; }, Action);
    if (Origin == H.Self.Id)
      fromArbiter(H, Pool, Action);
    else
      sendTo(H, Origin, OriginMessage{Pool, Action});
  }
  const auto *Asked = std::get_if<SlotRequested>(&Event);
  if (Asked != nullptr && Asked->Request.Key.Origin != H.Self.Id &&
      Held.queued(Asked->Request.Key))
    sendTo(H, Asked->Request.Key.Origin, ReservationQueued{Asked->Request.Key});
}

void fromArbiter(ForwardHost &H, PoolId Pool, const ArbiterAction &Action) {
  const RequestKey Key =
      std::visit([](const auto &Known) { return Known.Key; }, Action);
  const auto Slot = H.BySlot.find(Key.Id);
  ForwardCall *Call =
      Key.OriginIncarnation == H.Incarnation && Slot != H.BySlot.end()
          ? callOf(H, Slot->second)
          : nullptr;
  const bool Waits = Call != nullptr && Call->Stage == CallStage::Waiting;
  if (!Waits)
    return; // the reservation has ended; confirmSlots() frees its slot
  if (const auto *Refusal = std::get_if<RefuseSlot>(&Action)) {
    Call->Slot = RequestId{};
    H.BySlot.erase(Key.Id);
    return failCall(H, *Call,
                    Refusal->Kind == ErrorKind::DeadlinePassed
                        ? ErrorKind::Overloaded
                        : Refusal->Kind,
                    Refusal->RetryAfter);
  }
  const auto *Grant = std::get_if<GrantSlot>(&Action);
  if (Grant == nullptr)
    return;
  const ListedTarget *To = targetOf(H, Grant->Target);
  if (To == nullptr || To->Leaving) {
    // The arbiter has not received the target's leaving notice yet.
    Usage None;
    None.Outcome = DispatchOutcome::NotRun;
    releaseSlot(H, *Call, None);
    reportRefusal(H, Pool, Grant->Target);
    if (H.Loop.now() < Call->Deadline)
      return askForSlot(H, *Call);
    return failCall(H, *Call, ErrorKind::NoTarget, NoTargetRetry);
  }
  dispatch(H, *Call, *To);
}

void tellTargets(ForwardHost &H, PoolId Pool) {
  PoolState &Held = H.Pools[Pool];
  if (Held.Whole) {
    tellVersions(H, Pool, *Held.Whole);
    toArbiter(H, Pool, TargetsChanged{targetsOf(H, Pool)});
  }
  if (Held.Share) {
    tellVersions(H, Pool, *Held.Share);
    stepShare(H, Pool, TargetsChanged{shareOf(H, Pool)});
  }
}

void tickArbiters(ForwardHost &H) {
  std::vector<PoolId> Pools;
  for (const auto &[Pool, Held] : H.Pools)
    Pools.push_back(Pool);
  for (const PoolId Pool : Pools) {
    if (H.Pools[Pool].Whole && !H.Pools[Pool].Whole->idle())
      toArbiter(H, Pool, ArbiterTicked{});
    if (H.Pools[Pool].Share && !H.Pools[Pool].Share->idle())
      stepShare(H, Pool, ArbiterTicked{});
  }
}

/// Logs the load of each pool that is arbitrated here and has work; called once
/// a second.
void logPools(const ForwardHost &H) {
  for (const auto &[Pool, Held] : H.Pools) {
    if (!Held.Whole || Held.Whole->idle())
      continue;
    const ArbiterView View = Held.Whole->view(H.Loop.now());
    std::string Queued;
    for (const std::size_t Each : View.Queued)
      Queued += std::to_string(Each) + ",";
    LogLine("pool_load")
        .with("pool", static_cast<std::int64_t>(number(Pool)))
        .with("queued", Queued)
        .with("in_flight", static_cast<std::int64_t>(View.InFlight))
        .with("limit", static_cast<std::int64_t>(View.Limit))
        .with("declared", static_cast<std::int64_t>(View.Declared))
        .with("tokens_per_second", static_cast<std::int64_t>(View.Capacity));
  }
}

void confirmSlots(ForwardHost &H) {
  const TimePoint Now = H.Loop.now();
  logPools(H);
  for (auto &[Pool, Held] : H.Pools) {
    if (number(Held.ReportedTo) == 0)
      continue;
    SlotsConfirmed Confirmed{H.Self.Id, H.Incarnation};
    for (const auto &[Id, Call] : H.Calls)
      if (Call.Pool == Pool && number(Call.Slot) != 0)
        Confirmed.ActiveRequests.insert(Call.Slot);
    if (Held.ReportedTo == H.Self.Id)
      toArbiter(H, Pool, Confirmed);
    else
      send(H, Held.ReportedTo, Pool, Confirmed);
    if (!Held.Whole)
      continue;
    const bool Elsewhere = arbiterOf(H, Pool) != H.Self.Id;
    if (Elsewhere && Now - Held.WholeUsedAt > OriginPatience) {
      Held.Whole.reset(); // its slots were reported to another arbiter
      continue;
    }
    for (const auto &[Id, Peer] : H.Fleet)
      if (Peer.HeardAt != TimePoint{} && Now - Peer.HeardAt > OriginPatience)
        toArbiter(H, Pool, OriginLost{Id, Peer.Incarnation});
  }
}

} // namespace marjorambay
