/// Rollouts: the leader and the guard of each pool, and their actions.
#include "rollouts.h"

#include "components.h"
#include "responses.h"

#include "marjorambay/protocol/rollout_json.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

constexpr Duration RolloutTick = milliseconds(250);
/// Interval at which a leader polls targets of other zones.
constexpr Duration RemotePollInterval = seconds(5);
/// A changed view is in every heartbeat for this long, and then in every
/// HeartbeatsBetweenViews-th one.
constexpr Duration ChangedViewPeriod = seconds(5);
constexpr std::uint64_t HeartbeatsBetweenViews = 40;

PoolRollout &poolRollout(Daemon &D, PoolId Pool) {
  return D.Rollouts.try_emplace(Pool, D.Settings.HostName).first->second;
}

bool arbitratesHere(const Daemon &D, PoolId Pool) {
  const auto Location = D.ArbiterLocations.find(Pool);
  return Location != D.ArbiterLocations.end() &&
         Location->second.Host == D.Self.Id &&
         Location->second.Zone == D.Self.Zone;
}

bool isRolledBack(const PoolRollout &State) {
  return State.View->Phase == RolloutPhase::RolledBack || State.Guard.tripped();
}

void broadcastTrip(Daemon &D, const TrippedVersion &Trip) {
  post(D, MembershipEvent(VersionFaultDetected{Trip}));
  handleTrip(D, Trip);
}

// ---- Actions of a guard -----------------------------------------------------

void sendEvidence(Daemon &D, PoolId Pool, const EvidenceReady &Ready) {
  const EvidenceArrived Arrived{Ready.Rollout, Ready.Cells};
  const HostId Leader = poolRollout(D, Pool).View->Leader;
  if (Leader == D.Self.Id)
    stepLeader(D, Pool, Arrived);
  else
    sendToHost(D, Leader, Arrived);
}

void performGuard(Daemon &D, PoolId Pool, const GuardActions &Actions) {
  for (const GuardAction &Action : Actions) {
    if (const auto *Allowed = std::get_if<ShareChanged>(&Action)) {
      if (D.Arbiters.contains(Pool))
        post(D, ArbiterInput{Pool, VersionShareChanged{Allowed->Version,
                                                       Allowed->Share}});
    } else if (const auto *Trip = std::get_if<TripDetected>(&Action)) {
      LogLine("version_tripped", LogLevel::Warning)
          .with("pool", static_cast<std::int64_t>(number(Pool)))
          .with("fault", std::string(nameOf(Trip->Kind)));
      broadcastTrip(D, {Trip->Rollout, Trip->Version, D.Loop.wallClockNow()});
    } else if (const auto *Ready = std::get_if<EvidenceReady>(&Action)) {
      sendEvidence(D, Pool, *Ready);
    }
  }
}

// ---- Actions of a leader ----------------------------------------------------

void sendLoadOrder(Daemon &D, const OrderLoad &Order) {
  const TargetConfig *Target = D.Config.target(Order.Target);
  const Result<SocketAddress> Address =
      parseAddress(Target ? Target->Address : "");
  if (!ok(Address))
    return;
  LogLine("load_ordered")
      .with("target", Target->Name)
      .with("version", Order.Version)
      .with("fence", static_cast<std::int64_t>(Order.Fence));
  HttpCall Request;
  Request.Address = value(Address).Ip;
  Request.Port = value(Address).Port;
  Request.Method = "POST";
  Request.Path = "/orders";
  Request.Headers = {{"Content-Type", "application/json"}};
  const std::string Body = printLoadOrder(Order.Version, Order.Fence);
  Request.Body = Body;
  Request.ConnectTimeout = D.Settings.ConnectTimeout;
  Request.ResponseTimeout = seconds(5);
  // The target's load report shows whether the order took effect.
  D.Client.fetch(std::move(Request), [](int, const HttpResponseView &,
                                        const std::string &, CallOutcome) {});
}

void respondToCommand(Daemon &D, const AnswerCommand &Answer) {
  const auto Found = D.PendingCommands.find(Answer.Call);
  if (Found == D.PendingCommands.end())
    return;
  const ExchangeId Exchange = Found->second;
  D.PendingCommands.erase(Found);
  if (!ok(Answer.Outcome))
    return respondOperatorError(D, Exchange, error(Answer.Outcome));
  D.Operators.answer(Exchange, 200, {{"Content-Type", "application/json"}},
                     "{\"accepted\": true}\n");
}

void performLeader(Daemon &D, PoolId Pool, const RolloutAction &Action) {
  if (std::holds_alternative<ReadRollout>(Action))
    readRollout(D, Pool, [&D, Pool](const RolloutRead &Read) {
      stepLeader(D, Pool, Read);
    });
  else if (const auto *Write = std::get_if<WriteRollout>(&Action))
    writeRollout(D, Pool, *Write);
  else if (const auto *Order = std::get_if<OrderLoad>(&Action))
    sendLoadOrder(D, *Order);
  else if (const auto *Publish = std::get_if<PublishView>(&Action))
    updateRolloutView(D, Publish->View);
  else if (const auto *Trip = std::get_if<TripVersion>(&Action))
    broadcastTrip(D, {Trip->Rollout, Trip->Version, D.Loop.wallClockNow()});
  else if (const auto *Answer = std::get_if<AnswerCommand>(&Action))
    respondToCommand(D, *Answer);
  else if (const auto *Ended = std::get_if<RolloutEnded>(&Action))
    LogLine("rollout_ended")
        .with("rollout", Ended->State.Name)
        .with("phase", std::string(nameOf(Ended->State.Phase)))
        .with("reason", Ended->State.History.empty()
                            ? ""
                            : Ended->State.History.back().Note);
}

TargetsReported reportedTargets(const Daemon &D, PoolId Pool) {
  TargetsReported Reported;
  for (const ZoneId Zone : D.Config.zonesOfPool(Pool))
    for (const TargetId Id : D.Config.targets(Pool, Zone)) {
      TargetStatus Target;
      Target.Target = Id;
      Target.Zone = Zone;
      const TargetConfig *Config = D.Config.target(Id);
      Target.Leaving = Config->Draining || D.Members.isLeaving(Id);
      const auto Loaded = D.LoadedVersions.find(Id);
      if (Loaded != D.LoadedVersions.end())
        Target.Versions = Loaded->second;
      Reported.Targets.push_back(std::move(Target));
    }
  return Reported;
}

void pollTargets(Daemon &D, PoolId Pool, PoolRollout &State) {
  if (D.Loop.now() - State.RemotePolledAt >= RemotePollInterval) {
    State.RemotePolledAt = D.Loop.now();
    for (const ZoneId Zone : D.Config.zonesOfPool(Pool))
      if (Zone != D.Self.Zone)
        for (const TargetId Target : D.Config.targets(Pool, Zone))
          fetchLoadReport(D, Pool, Target);
  }
  stepLeader(D, Pool, reportedTargets(D, Pool));
}

void tickPool(Daemon &D, PoolId Pool) {
  PoolRollout &State = poolRollout(D, Pool);
  const WallTime WallClock = D.Loop.wallClockNow();
  performGuard(D, Pool, State.Guard.step(GuardTicked{WallClock}));
  const bool Preferred = arbitratesHere(D, Pool) && !D.Draining;
  if (Preferred && State.Leader.isLeader())
    pollTargets(D, Pool, State);
  stepLeader(D, Pool, RolloutTicked{WallClock, Preferred});
}

std::uint8_t loadLevel(const Slot &Released, const TargetConfig &Target) {
  const double Limit = std::max(1U, Target.MaxRequestsInFlight);
  const double Fill = Released.Streams / Limit;
  return Fill < 1.0 / 3 ? 0 : Fill < 2.0 / 3 ? 1 : 2;
}

/// Returns the speed class, which spans a factor of two.
std::uint8_t speedClass(const TargetConfig &Target) {
  const double Speed = std::max(1.0, Target.TokensPerSecond);
  return static_cast<std::uint8_t>(std::log2(Speed));
}

const PoolConfig *findPool(const Daemon &D, std::string_view Name) {
  return D.Config.pool(idOf<PoolId>(Name));
}

} // namespace

void stepLeader(Daemon &D, PoolId Pool, const RolloutEvent &Event) {
  const RolloutActions Actions =
      poolRollout(D, Pool).Leader.step(Event, D.Loop.now());
  for (const RolloutAction &Action : Actions)
    performLeader(D, Pool, Action);
}

void startRollouts(Daemon &D) {
  D.Subscriptions.push_back(D.Timers.every(RolloutTick, [&D]() {
    for (const PoolConfig &Pool : D.Config.config().Pools)
      if (Pool.Kind == PoolKind::Model)
        tickPool(D, idOf<PoolId>(Pool.Name));
  }));
}

void publishCanaryCaps(Daemon &D) {
  for (const PoolConfig &Pool : D.Config.config().Pools) {
    ScopeNames Where;
    Where.Pool = Pool.Name;
    const double Share = D.Config.effective(Where).CanaryShareCap;
    stepLeader(D, idOf<PoolId>(Pool.Name), CanaryShareChanged{Share});
  }
}

// ---- Versions in force ------------------------------------------------------

std::string servedVersion(const Daemon &D, const TargetConfig &Target) {
  const auto State = D.Rollouts.find(idOf<PoolId>(Target.Pool));
  if (State == D.Rollouts.end() || !State->second.View ||
      isRolledBack(State->second))
    return Target.Version;
  const RolloutView &View = *State->second.View;
  const auto Loaded = D.LoadedVersions.find(idOf<TargetId>(Target.Name));
  const bool HasNew =
      Loaded != D.LoadedVersions.end() &&
      std::count(Loaded->second.begin(), Loaded->second.end(), View.To) > 0;
  return HasNew ? View.ToName : Target.Version;
}

std::string grantedVersionName(const Daemon &D, PoolId Pool,
                               VersionId Granted) {
  const auto State = D.Rollouts.find(Pool);
  const bool IsNew = State != D.Rollouts.end() && State->second.View &&
                     State->second.View->To == Granted;
  return IsNew ? State->second.View->ToName : "";
}

void publishVersions(Daemon &D, const PoolConfig &Pool) {
  const auto Id = idOf<PoolId>(Pool.Name);
  VersionId Serving =
      Pool.Version.empty() ? VersionId{} : idOf<VersionId>(Pool.Version);
  const auto State = D.Rollouts.find(Id);
  const bool Known =
      State != D.Rollouts.end() && State->second.View.has_value();
  if (Known && State->second.View->Phase == RolloutPhase::Completed)
    Serving = State->second.View->To;
  if (Serving != VersionId{})
    post(D, ArbiterInput{Id, ServingVersionChanged{Serving}});
  if (!Known || Serving == State->second.View->To)
    return;
  post(D, ArbiterInput{
              Id, VersionShareChanged{State->second.View->To,
                                      State->second.Guard.allowedShare()}});
  if (isRolledBack(State->second))
    post(D, ArbiterInput{Id, VersionTripped{State->second.View->To}});
}

// ---- Observations -----------------------------------------------------------

void observeAnswer(Daemon &D, const Slot &Released, const Usage &Used) {
  const bool Evaluated = Used.Outcome == DispatchOutcome::Complete ||
                         Used.Outcome == DispatchOutcome::Failed;
  const TargetConfig *Target = D.Config.target(Released.Target);
  if (!Evaluated || !Target || Released.Version == VersionId{})
    return;
  AnswerObserved Observed;
  Observed.Version = Released.Version;
  Observed.Stratum = {Released.Request.Route, loadLevel(Released, *Target),
                      speedClass(*Target)};
  Observed.Failed = Used.Outcome == DispatchOutcome::Failed;
  Observed.FirstTokenSeconds = toSeconds(Used.TimeToFirstToken);
  if (Used.OutputTokens > 1)
    Observed.SecondsPerToken = toSeconds(Used.Total - Used.TimeToFirstToken) /
                               static_cast<double>(Used.OutputTokens);
  poolRollout(D, Released.Request.Pool).Guard.step(Observed);
}

void updateLoadedVersions(Daemon &D, TargetId Target,
                          const std::vector<std::string> &Versions) {
  std::vector<VersionId> Ids;
  Ids.reserve(Versions.size());
  for (const std::string &Name : Versions)
    Ids.push_back(idOf<VersionId>(Name));
  std::vector<VersionId> &Loaded = D.LoadedVersions[Target];
  if (Loaded == Ids)
    return;
  Loaded = std::move(Ids);
  publishTargets(D);
}

void updateRolloutView(Daemon &D, const RolloutView &View) {
  if (!D.Config.pool(View.Pool))
    return;
  PoolRollout &State = poolRollout(D, View.Pool);
  if (State.View && State.View->ObjectVersion >= View.ObjectVersion)
    return;
  const bool Changed = !State.View || State.View->Phase != View.Phase ||
                       State.View->Share != View.Share ||
                       State.View->Leader != View.Leader ||
                       State.View->Id != View.Id;
  State.View = View;
  State.Guard.step(ViewUpdated{View});
  stepLeader(D, View.Pool, ViewReceived{View});
  if (!Changed)
    return;
  State.ChangedAt = D.Loop.now();
  LogLine("rollout_moved")
      .with("version", View.ToName)
      .with("phase", std::string(nameOf(View.Phase)))
      .with("share", std::to_string(View.Share));
  D.Stats.setLabelName(LabelKind::Version, number(View.To), View.ToName);
  performGuard(D, View.Pool,
               State.Guard.step(GuardTicked{D.Loop.wallClockNow()}));
  publishTargets(D);
}

void addRolloutViews(Daemon &D, Heartbeat &Message) {
  const bool All = Message.Sequence % HeartbeatsBetweenViews == 0;
  for (const auto &[Pool, State] : D.Rollouts)
    if (State.View &&
        (All || D.Loop.now() - State.ChangedAt < ChangedViewPeriod))
      Message.Rollouts.push_back(*State.View);
}

void handleEvidence(Daemon &D, const EvidenceArrived &Arrived) {
  for (const auto &[Pool, State] : D.Rollouts)
    if (State.View && State.View->Id == Arrived.Rollout)
      return stepLeader(D, Pool, Arrived);
}

void handleTrip(Daemon &D, const TrippedVersion &Trip) {
  for (auto &[Pool, State] : D.Rollouts) {
    if (!State.View || State.View->Id != Trip.Rollout)
      continue;
    performGuard(D, Pool, State.Guard.step(TripReported{Trip.Rollout}));
    stepLeader(
        D, Pool,
        RolloutTripped{Trip.Rollout, "the guard tripped the new version"});
    publishTargets(D);
    return;
  }
}

// ---- Operators --------------------------------------------------------------

void respondWithRollout(Daemon &D, ExchangeId Exchange, std::string_view Pool) {
  if (!findPool(D, Pool))
    return respondOperatorError(D, Exchange,
                                {ErrorKind::NotFound, "no such pool"});
  const auto Id = idOf<PoolId>(Pool);
  readRollout(D, Id, [&D, Id, Exchange](const RolloutRead &Read) {
    const auto &LastState = poolRollout(D, Id).Leader.state();
    if (!Read.Found && (Read.Reachable || !LastState))
      return respondOperatorError(D, Exchange,
                                  {Read.Reachable
                                       ? ErrorKind::NotFound
                                       : ErrorKind::PlatformUnavailable,
                                   "no rollout of this pool is known"});
    // In an outage, respond with the state that this host read last.
    D.Operators.answer(Exchange, 200, {{"Content-Type", "application/json"}},
                       printRolloutState(Read.Found ? Read.State : *LastState));
  });
}

void handleRolloutCommand(Daemon &D, ExchangeId Exchange, std::string_view Pool,
                          std::string_view Body) {
  const PoolConfig *Config = findPool(D, Pool);
  const Result<RolloutRequest> Read = parseRolloutRequest(Body);
  if (!Config)
    return respondOperatorError(D, Exchange,
                                {ErrorKind::NotFound, "no such pool"});
  if (!ok(Read))
    return respondOperatorError(D, Exchange, error(Read));
  const RolloutRequest &Request = value(Read);
  const auto Command = parseEnum<RolloutCommand>(Request.Command);
  const bool IsStart = Command == RolloutCommand::Start;
  const bool Complete = !Request.Name.empty() && !Request.ToVersion.empty() &&
                        Request.Within >= minutes(1) &&
                        !Config->Version.empty() &&
                        Config->Version != Request.ToVersion;
  if (!Command || Request.Author.empty() || (IsStart && !Complete))
    return respondOperatorError(
        D, Exchange,
        {ErrorKind::BadRequest,
         "needs command (start, pause, resume, abort) and author; start needs "
         "name, to_version other than the pool's own, and within_ms of at "
         "least 60000"});
  RolloutCommanded Commanded;
  Commanded.Call = ++D.LastCommand;
  Commanded.Command = *Command;
  Commanded.Author = Request.Author;
  Commanded.Requested.Name = Request.Name;
  Commanded.Requested.Pool = Config->Name;
  Commanded.Requested.FromVersion = Config->Version;
  Commanded.Requested.ToVersion = Request.ToVersion;
  Commanded.Requested.Deadline = D.Loop.wallClockNow() + Request.Within;
  D.PendingCommands[Commanded.Call] = Exchange;
  stepLeader(D, idOf<PoolId>(Config->Name), Commanded);
}

} // namespace marjorambay
