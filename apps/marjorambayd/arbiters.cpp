/// This host's arbiters, and messages to the arbiters of other hosts.
#include "actions.h"
#include "components.h"
#include "rollouts.h"

#include "marjorambay/coordination/rendezvous.h"
#include "marjorambay/state/evacuated_zones.h"

#include <algorithm>

namespace marjorambay {

namespace {

constexpr Duration ArbiterTick = milliseconds(100);
/// Time without a response to a reservation after which its host counts as
/// unresponsive; a live host acknowledges within a turn of its loop.
constexpr Duration UnresponsiveAfter = milliseconds(300);

/// Returns the host that probably arbitrates \p Pool in another zone.
/// Membership data of other zones lags by minutes, so hosts that left a
/// reservation unanswered are skipped until they are heard from again.
std::optional<HostId> remoteArbiter(const Daemon &D, PoolId Pool, ZoneId Zone) {
  RendezvousChoice<HostId> Choice(number(Pool));
  for (const auto &[Id, Peer] : D.Members.members()) {
    const bool Serves = Peer.State == HostState::Live && !Peer.Draining;
    if (Peer.Host.Zone == Zone && Serves && !D.UnresponsiveHosts.contains(Id))
      Choice.consider(Id);
  }
  if (Choice.found())
    return Choice.best();
  return D.Members.arbiterOf(Pool, Zone);
}

/// Returns the arbiter that requests of this host are sent to first: the one of
/// this host's zone if that has targets of the pool, or else of the first zone
/// that has targets and a known host.
std::optional<ArbiterLocation> preferredArbiter(const Daemon &D, PoolId Pool) {
  if (!D.Config.targets(Pool, D.Self.Zone).empty())
    return ArbiterLocation{D.Self.Zone, D.Members.arbiterOf(Pool)};
  for (const ZoneId Zone : D.Config.zonesOfPool(Pool))
    if (const auto Host = remoteArbiter(D, Pool, Zone))
      return ArbiterLocation{Zone, *Host};
  return std::nullopt;
}

std::optional<HostId> arbiterIn(const Daemon &D, PoolId Pool, ZoneId Zone) {
  if (Zone == D.Self.Zone)
    return D.Members.arbiterOf(Pool);
  return remoteArbiter(D, Pool, Zone);
}

ScopeNames scopeOf(const TargetConfig &Target) {
  ScopeNames Scope;
  Scope.Zone = Target.Zone;
  Scope.Target = Target.Name;
  Scope.Pool = Target.Pool;
  return Scope;
}

TargetInfo infoOf(const Daemon &D, const TargetConfig &Target) {
  TargetInfo Info;
  Info.Id = idOf<TargetId>(Target.Name);
  Info.Pool = idOf<PoolId>(Target.Pool);
  Info.Zone = idOf<ZoneId>(Target.Zone);
  const std::string Version = servedVersion(D, Target);
  if (!Version.empty())
    Info.Version = idOf<VersionId>(Version);
  Info.TokensPerSecond = Target.TokensPerSecond;
  Info.MaxTokensInFlight = Target.MaxTokensInFlight;
  Info.MaxRequestsInFlight = Target.MaxRequestsInFlight;
  Info.MaxPrefillSeconds =
      D.Config.effective(scopeOf(Target)).TargetFillSeconds;
  Info.Leaving = Target.Draining || D.Members.isLeaving(Info.Id);
  Info.Evacuated = findEvacuation(D.Config.config(), Target.Zone) != nullptr;
  const auto Incarnation = D.TargetIncarnations.find(Info.Id);
  if (Incarnation != D.TargetIncarnations.end())
    Info.Incarnation = Incarnation->second;
  return Info;
}

std::vector<TargetInfo> targetsOf(const Daemon &D, PoolId Pool, ZoneId Zone) {
  std::vector<TargetInfo> Targets;
  for (const TargetId Id : D.Config.targets(Pool, Zone))
    Targets.push_back(infoOf(D, *D.Config.target(Id)));
  return Targets;
}

/// Returns the live entry hosts of this host's zone, including this one.
std::vector<HostId> zoneHosts(const Daemon &D) {
  std::vector<HostId> Hosts{D.Self.Id};
  for (const auto &[Id, Peer] : D.Members.members())
    if (Peer.Host.Zone == D.Self.Zone && Peer.State == HostState::Live)
      Hosts.push_back(Id);
  return Hosts;
}

/// Sends the configured targets, versions and account weights of \p Pool to its
/// arbiter on this host.
void configureArbiter(Daemon &D, PoolId Pool) {
  post(D, ArbiterInput{Pool, TargetsChanged{targetsOf(D, Pool, D.Self.Zone)}});
  const PoolConfig *Config = D.Config.pool(Pool);
  if (Config)
    publishVersions(D, *Config);
  for (const AccountConfig &Account : D.Config.config().Accounts)
    post(D,
         ArbiterInput{Pool, AccountWeightChanged{idOf<AccountId>(Account.Name),
                                                 Account.Weight}});
}

/// Reports the slots that requests of this host occupy to the arbiter of \p
/// Pool in \p Zone.
void reportGrants(Daemon &D, PoolId Pool, ZoneId Zone) {
  GrantsReported Report;
  Report.Origin = D.Self.Id;
  Report.OriginIncarnation = D.Incarnation;
  for (const HeldGrant &Grant : D.Requests.heldGrants(Pool, D.Loop.now())) {
    const TargetConfig *Target = D.Config.target(Grant.Target);
    if (Target && idOf<ZoneId>(Target->Zone) == Zone)
      Report.Grants.push_back(Grant);
  }
  sendToArbiter(D, Pool, Zone, std::move(Report));
}

void handleArbiterChange(Daemon &D, PoolId Pool, const ArbiterLocation &New) {
  const auto Previous = D.ArbiterLocations.find(Pool);
  const bool WasSelf = Previous != D.ArbiterLocations.end() &&
                       Previous->second.Host == D.Self.Id;
  D.ArbiterLocations[Pool] = New;
  LogLine("arbiter_moved")
      .with("pool", static_cast<std::int64_t>(number(Pool)))
      .with("here", New.Host == D.Self.Id ? "yes" : "no");
  if (New.Host == D.Self.Id && !WasSelf)
    post(D, ArbiterInput{Pool, TakeoverStarted{zoneHosts(D)}});
  // Origins send the reservations that were queued here to the new arbiter.
  if (New.Host != D.Self.Id)
    D.Arbiters.erase(Pool);
  reportGrants(D, Pool, New.Zone);
  post(D, OriginEvent(ArbiterChanged{Pool, true}));
}

/// Sends the reservation to the arbiter of another zone, if this is allowed and
/// one is left.
bool spill(Daemon &D, CallerCall &Call, PoolId Pool) {
  const FleetDefaults Defaults = D.Config.effective(
      {.Host = D.Settings.HostName, .Zone = D.Settings.ZoneName});
  if (!Defaults.SpillAcrossZones || D.Loop.now() >= Call.Deadline)
    return false;
  Call.RefusedZones.push_back(Call.ReservedZone);
  for (const ZoneId Zone : D.Config.zonesOfPool(Pool)) {
    const auto &Refused = Call.RefusedZones;
    if (std::find(Refused.begin(), Refused.end(), Zone) != Refused.end())
      continue;
    if (!remoteArbiter(D, Pool, Zone))
      continue;
    Call.ReservedZone = Zone;
    Reservation Request = Call.LastReservation;
    Request.Remaining = Call.Deadline - D.Loop.now();
    return sendReservation(D, Call, Request);
  }
  return false;
}

bool isOwn(const Daemon &D, const RequestKey &Key) {
  return Key.Origin == D.Self.Id && Key.OriginIncarnation == D.Incarnation;
}

void applyDecision(Daemon &D, PoolId Pool, const GrantSlot &Grant,
                   HostId From) {
  const auto Call = D.Calls.find(Grant.Key.Id);
  if (isOwn(D, Grant.Key) && Call != D.Calls.end()) {
    Call->second.GrantedVersion = Grant.Version;
    post(D, OriginEvent(SlotGranted{Grant.Key.Id, Grant.Target, Pool}));
    return;
  }
  // The request belongs to an earlier incarnation, or its caller has
  // disconnected: release the slot.
  const ArbiterEvent Release =
      SlotReleased{Grant.Key, {DispatchOutcome::NotRun}};
  if (From == D.Self.Id)
    post(D, ArbiterInput{Pool, Release});
  else
    sendToHost(D, From, ArbiterMessage{Pool, Release});
}

void applyDecision(Daemon &D, PoolId Pool, const RefuseSlot &Refusal,
                   HostId /*From*/) {
  const auto Found = D.Calls.find(Refusal.Key.Id);
  if (!isOwn(D, Refusal.Key) || Found == D.Calls.end())
    return;
  const bool MaySpill = Refusal.Kind == ErrorKind::Overloaded ||
                        Refusal.Kind == ErrorKind::NoTarget;
  if (MaySpill && spill(D, Found->second, Pool))
    return;
  post(D, OriginEvent(
              SlotRefused{Refusal.Key.Id, Refusal.Kind, Refusal.RetryAfter}));
}

void applyDecision(Daemon &D, PoolId /*Pool*/, const PreemptSlot &Preemption,
                   HostId /*From*/) {
  if (isOwn(D, Preemption.Key))
    post(D, OriginEvent(SlotPreempted{Preemption.Key.Id}));
}

void applyDecision(Daemon &, PoolId /*Pool*/, const RedirectSlot &,
                   HostId /*From*/) {
  // The arbiters of this mode of operation serve undivided pools only.
}

HostId originOf(const ArbiterAction &Action) {
  return std::visit([](const auto &Decision) { return Decision.Key.Origin; },
                    Action);
}

void tickArbiters(Daemon &D) {
  std::vector<PoolId> Pools;
  for (const auto &[Pool, Hosted] : D.Arbiters)
    Pools.push_back(Pool);
  for (const PoolId Pool : Pools)
    post(D, ArbiterInput{Pool, ArbiterTicked{}});
}

} // namespace

HostedArbiter &hostedArbiter(Daemon &D, PoolId Pool) {
  const auto [Found, New] = D.Arbiters.try_emplace(Pool);
  if (New)
    configureArbiter(D, Pool);
  return Found->second;
}

void performArbiter(Daemon &D, PoolId Pool, const ArbiterAction &Action) {
  const HostId Origin = originOf(Action);
  if (Origin == D.Self.Id)
    handleDecision(D, Pool, Action, D.Self.Id);
  else
    sendToHost(D, Origin, OriginMessage{Pool, Action});
}

void handleDecision(Daemon &D, PoolId Pool, const ArbiterAction &Action,
                    HostId From) {
  std::visit(
      [&](const auto &Decision) { applyDecision(D, Pool, Decision, From); },
      Action);
}

void recordUnanswered(Daemon &D, const CallerCall &Call, PoolId Pool) {
  // Reservations are also sent again at once when the arbiter has changed.
  if (D.Loop.now() - Call.ReservationSentAt < UnresponsiveAfter)
    return;
  const std::optional<HostId> Host = arbiterIn(D, Pool, Call.ReservedZone);
  const bool Remote = Call.ReservedZone != D.Self.Zone;
  if (!Remote || !Host || *Host != Call.ArbiterHost)
    return;
  const auto Sender = D.Senders.find(*Host);
  if (Sender != D.Senders.end() &&
      Sender->second.HeardAt >= Call.ReservationSentAt)
    return;
  LogLine("arbiter_silent", LogLevel::Warning)
      .with("host", static_cast<std::int64_t>(number(*Host)));
  D.UnresponsiveHosts.insert(*Host);
  updateArbiterLocations(D);
}

bool sendReservation(Daemon &D, CallerCall &Call, const Reservation &Request) {
  const auto Host = arbiterIn(D, Request.Pool, Call.ReservedZone);
  Call.ReservationSentAt = D.Loop.now();
  Call.ArbiterHost = Host.value_or(HostId{});
  return sendToArbiter(D, Request.Pool, Call.ReservedZone,
                       SlotRequested{Request});
}

bool sendToArbiter(Daemon &D, PoolId Pool, ZoneId Zone, ArbiterEvent Event) {
  const std::optional<HostId> Host = arbiterIn(D, Pool, Zone);
  if (!Host)
    return false;
  if (*Host == D.Self.Id)
    post(D, ArbiterInput{Pool, std::move(Event)});
  else
    sendToHost(D, *Host, ArbiterMessage{Pool, std::move(Event)});
  return true;
}

void updateArbiterLocations(Daemon &D) {
  for (const PoolConfig &Pool : D.Config.config().Pools) {
    const auto Id = idOf<PoolId>(Pool.Name);
    const std::optional<ArbiterLocation> Location = preferredArbiter(D, Id);
    const auto Previous = D.ArbiterLocations.find(Id);
    if (Location &&
        (Previous == D.ArbiterLocations.end() || Previous->second != *Location))
      handleArbiterChange(D, Id, *Location);
  }
}

void publishTargets(Daemon &D) {
  const auto Hosts = static_cast<std::uint32_t>(zoneHosts(D).size());
  for (const PoolConfig &Pool : D.Config.config().Pools) {
    const auto Id = idOf<PoolId>(Pool.Name);
    post(D, OriginEvent(
                LocalTargetsChanged{Id, targetsOf(D, Id, D.Self.Zone), Hosts}));
    if (D.Arbiters.contains(Id))
      configureArbiter(D, Id);
  }
}

void startArbiters(Daemon &D) {
  D.Subscriptions.push_back(
      D.Timers.every(ArbiterTick, [&D]() { tickArbiters(D); }));
}

void performMembership(Daemon &D, const ZoneViewChanged & /*Action*/) {
  updateArbiterLocations(D);
  if (D.WatchesConfig == D.Members.watchesConfig())
    return;
  D.WatchesConfig = !D.WatchesConfig;
  post(D, ConfigInput{WatcherRoleChanged{D.WatchesConfig}});
}

void performMembership(Daemon &D, const HostLost &Action) {
  LogLine("host_lost")
      .with("host", static_cast<std::int64_t>(number(Action.Host)));
  for (const auto &[Pool, Hosted] : D.Arbiters)
    post(D, ArbiterInput{Pool, OriginLost{Action.Host, Action.Incarnation}});
  updateArbiterLocations(D);
}

void performMembership(Daemon &D, const LeavingNoticeRecorded &Action) {
  const LeavingNotice &Sign = Action.Notice;
  LogLine("target_leaving")
      .with("target", static_cast<std::int64_t>(number(Sign.Target)))
      .with("back", Sign.Cleared ? "yes" : "no");
  const TargetConfig *Target = D.Config.target(Sign.Target);
  if (!Target)
    return;
  if (Sign.Cleared) {
    D.TargetIncarnations[Sign.Target] = Sign.Incarnation;
    publishTargets(D);
    return;
  }
  const auto Pool = idOf<PoolId>(Target->Pool);
  if (D.Arbiters.contains(Pool))
    post(D, ArbiterInput{Pool, TargetLeaving{Sign.Target, Sign.Incarnation}});
}

void performMembership(Daemon &D, const TripRecorded &Action) {
  for (const auto &[Pool, Hosted] : D.Arbiters)
    post(D, ArbiterInput{Pool, VersionTripped{Action.Trip.Version}});
  handleTrip(D, Action.Trip);
}

} // namespace marjorambay
