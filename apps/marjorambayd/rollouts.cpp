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
constexpr Duration ShownInterval = seconds(5);
/// A changed view is in every heartbeat for this long, and then in every
/// HeartbeatsBetweenViews-th one.
constexpr Duration FreshView = seconds(5);
constexpr std::uint64_t HeartbeatsBetweenViews = 40;

PoolRollout &poolRollout(Daemon &D, PoolId Pool) {
  return D.Rollouts.try_emplace(Pool, D.Settings.HostName).first->second;
}

bool arbitratesHere(const Daemon &D, PoolId Pool) {
  const auto Place = D.ArbiterOf.find(Pool);
  return Place != D.ArbiterOf.end() && Place->second.Host == D.Self.Id &&
         Place->second.Zone == D.Self.Zone;
}

bool takenBack(const PoolRollout &Held) {
  return Held.View->Phase == RolloutPhase::RolledBack || Held.Guard.tripped();
}

void spreadTrip(Daemon &D, const TrippedVersion &Found) {
  post(D, MembershipEvent(VersionFaultDetected{Found}));
  takeTrip(D, Found);
}

// ---- Actions of a guard -----------------------------------------------------

void sendEvidence(Daemon &D, PoolId Pool, const EvidenceReady &Ready) {
  const EvidenceArrived Arrived{Ready.Rollout, Ready.Cells};
  const HostId Leader = poolRollout(D, Pool).View->Leader;
  if (Leader == D.Self.Id)
    stepLeader(D, Pool, Arrived);
  else
    sendHost(D, Leader, Arrived);
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
      spreadTrip(D, {Trip->Rollout, Trip->Version, D.Loop.wallClockNow()});
    } else if (const auto *Ready = std::get_if<EvidenceReady>(&Action)) {
      sendEvidence(D, Pool, *Ready);
    }
  }
}

// ---- Actions of a leader ----------------------------------------------------

void orderLoad(Daemon &D, const OrderLoad &Order) {
  const TargetConfig *Target = D.Config.target(Order.Target);
  const Result<SocketAddress> Address =
      parseAddress(Target ? Target->Address : "");
  if (!ok(Address))
    return;
  LogLine("load_ordered")
      .with("target", Target->Name)
      .with("version", Order.Version)
      .with("fence", static_cast<std::int64_t>(Order.Fence));
  HttpCall What;
  What.Address = value(Address).Ip;
  What.Port = value(Address).Port;
  What.Method = "POST";
  What.Path = "/orders";
  What.Headers = {{"Content-Type", "application/json"}};
  const std::string Body = printLoadOrder(Order.Version, Order.Fence);
  What.BodyText = Body;
  What.ConnectTimeout = D.Settings.ConnectTimeout;
  What.IdleTimeout = seconds(5);
  // The target's load report shows whether the order took effect.
  D.Client.fetch(std::move(What), [](int, const HttpResponseView &,
                                     const std::string &, CallOutcome) {});
}

void answerCommand(Daemon &D, const AnswerCommand &Answer) {
  const auto Found = D.RolloutCalls.find(Answer.Call);
  if (Found == D.RolloutCalls.end())
    return;
  const ExchangeId Exchange = Found->second;
  D.RolloutCalls.erase(Found);
  if (!ok(Answer.Outcome))
    return answerOperatorError(D, Exchange, error(Answer.Outcome));
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
    orderLoad(D, *Order);
  else if (const auto *Publish = std::get_if<PublishView>(&Action))
    learnRollout(D, Publish->View);
  else if (const auto *Trip = std::get_if<TripVersion>(&Action))
    spreadTrip(D, {Trip->Rollout, Trip->Version, D.Loop.wallClockNow()});
  else if (const auto *Answer = std::get_if<AnswerCommand>(&Action))
    answerCommand(D, *Answer);
  else if (const auto *Ended = std::get_if<RolloutEnded>(&Action))
    LogLine("rollout_ended")
        .with("rollout", Ended->State.Name)
        .with("phase", std::string(nameOf(Ended->State.Phase)))
        .with("reason", Ended->State.History.empty()
                            ? ""
                            : Ended->State.History.back().Note);
}

TargetsReported shownTargets(const Daemon &D, PoolId Pool) {
  TargetsReported Shown;
  for (const ZoneId Zone : D.Config.zonesOfPool(Pool))
    for (const TargetId Id : D.Config.targets(Pool, Zone)) {
      TargetStatus Target;
      Target.Target = Id;
      Target.Zone = Zone;
      const TargetConfig *Known = D.Config.target(Id);
      Target.Leaving = Known->Draining || D.Members.isLeaving(Id);
      const auto Loaded = D.ShownVersions.find(Id);
      if (Loaded != D.ShownVersions.end())
        Target.Versions = Loaded->second;
      Shown.Targets.push_back(std::move(Target));
    }
  return Shown;
}

void lookAtTargets(Daemon &D, PoolId Pool, PoolRollout &Held) {
  if (D.Loop.now() - Held.LookedAt >= ShownInterval) {
    Held.LookedAt = D.Loop.now();
    for (const ZoneId Zone : D.Config.zonesOfPool(Pool))
      if (Zone != D.Self.Zone)
        for (const TargetId Target : D.Config.targets(Pool, Zone))
          readLoadReport(D, Pool, Target);
  }
  stepLeader(D, Pool, shownTargets(D, Pool));
}

void tickPool(Daemon &D, PoolId Pool) {
  PoolRollout &Held = poolRollout(D, Pool);
  const WallTime Wall = D.Loop.wallClockNow();
  performGuard(D, Pool, Held.Guard.step(GuardTicked{Wall}));
  const bool Preferred = arbitratesHere(D, Pool) && !D.Draining;
  if (Preferred && Held.Leader.isLeader())
    lookAtTargets(D, Pool, Held);
  stepLeader(D, Pool, RolloutTicked{Wall, Preferred});
}

std::uint8_t loadLevel(const Slot &Held, const TargetConfig &Target) {
  const double Limit = std::max(1U, Target.MaxRequestsInFlight);
  const double Fill = Held.Streams / Limit;
  return Fill < 1.0 / 3 ? 0 : Fill < 2.0 / 3 ? 1 : 2;
}

/// Returns the speed class, which spans a factor of two.
std::uint8_t speedClass(const TargetConfig &Target) {
  const double Speed = std::max(1.0, Target.TokensPerSecond);
  return static_cast<std::uint8_t>(std::log2(Speed));
}

const PoolConfig *poolNamed(const Daemon &D, std::string_view Name) {
  return D.Config.pool(idOf<PoolId>(Name));
}

} // namespace

void stepLeader(Daemon &D, PoolId Pool, const RolloutEvent &Event) {
  const RolloutActions Actions =
      poolRollout(D, Pool).Leader.step(Event, D.Loop.now());
  for (const RolloutAction &Action : Actions)
    performLeader(D, Pool, Action);
}

void startRolloutSide(Daemon &D) {
  D.Subscriptions.push_back(D.Timers.every(RolloutTick, [&D]() {
    for (const PoolConfig &Pool : D.Config.config().Pools)
      if (Pool.Kind == PoolKind::Model)
        tickPool(D, idOf<PoolId>(Pool.Name));
  }));
}

void tellCanaryShares(Daemon &D) {
  for (const PoolConfig &Pool : D.Config.config().Pools) {
    ScopeNames Where;
    Where.Pool = Pool.Name;
    const double Share = D.Config.effective(Where).CanaryShareCap;
    stepLeader(D, idOf<PoolId>(Pool.Name), CanaryShareChanged{Share});
  }
}

// ---- Versions in force ------------------------------------------------------

std::string servedVersion(const Daemon &D, const TargetConfig &Target) {
  const auto Held = D.Rollouts.find(idOf<PoolId>(Target.Pool));
  if (Held == D.Rollouts.end() || !Held->second.View || takenBack(Held->second))
    return Target.Version;
  const RolloutView &View = *Held->second.View;
  const auto Shown = D.ShownVersions.find(idOf<TargetId>(Target.Name));
  const bool HasNew =
      Shown != D.ShownVersions.end() &&
      std::count(Shown->second.begin(), Shown->second.end(), View.To) > 0;
  return HasNew ? View.ToName : Target.Version;
}

std::string grantedVersion(const Daemon &D, PoolId Pool, VersionId Granted) {
  const auto Held = D.Rollouts.find(Pool);
  const bool IsNew = Held != D.Rollouts.end() && Held->second.View &&
                     Held->second.View->To == Granted;
  return IsNew ? Held->second.View->ToName : "";
}

void tellVersions(Daemon &D, const PoolConfig &Pool) {
  const auto Id = idOf<PoolId>(Pool.Name);
  VersionId Serving =
      Pool.Version.empty() ? VersionId{} : idOf<VersionId>(Pool.Version);
  const auto Held = D.Rollouts.find(Id);
  const bool Known = Held != D.Rollouts.end() && Held->second.View.has_value();
  if (Known && Held->second.View->Phase == RolloutPhase::Completed)
    Serving = Held->second.View->To;
  if (Serving != VersionId{})
    post(D, ArbiterInput{Id, ServingVersionChanged{Serving}});
  if (!Known || Serving == Held->second.View->To)
    return;
  post(D, ArbiterInput{Id,
                       VersionShareChanged{Held->second.View->To,
                                           Held->second.Guard.allowedShare()}});
  if (takenBack(Held->second))
    post(D, ArbiterInput{Id, VersionTripped{Held->second.View->To}});
}

// ---- Observations -----------------------------------------------------------

void observeAnswer(Daemon &D, const Slot &Held, const Usage &Used) {
  const bool Judged = Used.Outcome == DispatchOutcome::Complete ||
                      Used.Outcome == DispatchOutcome::Failed;
  const TargetConfig *Target = D.Config.target(Held.Target);
  if (!Judged || !Target || Held.Version == VersionId{})
    return;
  AnswerObserved Seen;
  Seen.Version = Held.Version;
  Seen.Stratum = {Held.Request.Route, loadLevel(Held, *Target),
                  speedClass(*Target)};
  Seen.Failed = Used.Outcome == DispatchOutcome::Failed;
  Seen.FirstTokenSeconds = toSeconds(Used.TimeToFirstToken);
  if (Used.OutputTokens > 1)
    Seen.SecondsPerToken = toSeconds(Used.Total - Used.TimeToFirstToken) /
                           static_cast<double>(Used.OutputTokens);
  poolRollout(D, Held.Request.Pool).Guard.step(Seen);
}

void showVersions(Daemon &D, TargetId Target,
                  const std::vector<std::string> &Versions) {
  std::vector<VersionId> Ids;
  Ids.reserve(Versions.size());
  for (const std::string &Name : Versions)
    Ids.push_back(idOf<VersionId>(Name));
  std::vector<VersionId> &Shown = D.ShownVersions[Target];
  if (Shown == Ids)
    return;
  Shown = std::move(Ids);
  tellTargets(D);
}

void learnRollout(Daemon &D, const RolloutView &View) {
  if (!D.Config.pool(View.Pool))
    return;
  PoolRollout &Held = poolRollout(D, View.Pool);
  if (Held.View && Held.View->ObjectVersion >= View.ObjectVersion)
    return;
  const bool Moved = !Held.View || Held.View->Phase != View.Phase ||
                     Held.View->Share != View.Share ||
                     Held.View->Leader != View.Leader ||
                     Held.View->Id != View.Id;
  Held.View = View;
  Held.Guard.step(ViewUpdated{View});
  stepLeader(D, View.Pool, ViewReceived{View});
  if (!Moved)
    return;
  Held.MovedAt = D.Loop.now();
  LogLine("rollout_moved")
      .with("version", View.ToName)
      .with("phase", std::string(nameOf(View.Phase)))
      .with("share", std::to_string(View.Share));
  D.Numbers.setLabelName(LabelKind::Version, number(View.To), View.ToName);
  performGuard(D, View.Pool,
               Held.Guard.step(GuardTicked{D.Loop.wallClockNow()}));
  tellTargets(D);
}

void addRollouts(Daemon &D, Heartbeat &Beat) {
  const bool All = Beat.Sequence % HeartbeatsBetweenViews == 0;
  for (const auto &[Pool, Held] : D.Rollouts)
    if (Held.View && (All || D.Loop.now() - Held.MovedAt < FreshView))
      Beat.Rollouts.push_back(*Held.View);
}

void takeEvidence(Daemon &D, const EvidenceArrived &Arrived) {
  for (const auto &[Pool, Held] : D.Rollouts)
    if (Held.View && Held.View->Id == Arrived.Rollout)
      return stepLeader(D, Pool, Arrived);
}

void takeTrip(Daemon &D, const TrippedVersion &Trip) {
  for (auto &[Pool, Held] : D.Rollouts) {
    if (!Held.View || Held.View->Id != Trip.Rollout)
      continue;
    performGuard(D, Pool, Held.Guard.step(TripReported{Trip.Rollout}));
    stepLeader(
        D, Pool,
        RolloutTripped{Trip.Rollout, "the guard tripped the new version"});
    tellTargets(D);
    return;
  }
}

// ---- Operators --------------------------------------------------------------

void answerRollout(Daemon &D, ExchangeId Exchange, std::string_view Pool) {
  if (!poolNamed(D, Pool))
    return answerOperatorError(D, Exchange,
                               {ErrorKind::NotFound, "no such pool"});
  const auto Id = idOf<PoolId>(Pool);
  readRollout(D, Id, [&D, Id, Exchange](const RolloutRead &Read) {
    const auto &Known = poolRollout(D, Id).Leader.state();
    if (!Read.Found && (Read.Reachable || !Known))
      return answerOperatorError(D, Exchange,
                                 {Read.Reachable
                                      ? ErrorKind::NotFound
                                      : ErrorKind::PlatformUnavailable,
                                  "no rollout of this pool is known"});
    // In an outage, respond with the state that this host read last.
    D.Operators.answer(Exchange, 200, {{"Content-Type", "application/json"}},
                       printRolloutState(Read.Found ? Read.State : *Known));
  });
}

void commandRollout(Daemon &D, ExchangeId Exchange, std::string_view Pool,
                    std::string_view Body) {
  const PoolConfig *Known = poolNamed(D, Pool);
  const Result<RolloutRequest> Read = parseRolloutRequest(Body);
  if (!Known)
    return answerOperatorError(D, Exchange,
                               {ErrorKind::NotFound, "no such pool"});
  if (!ok(Read))
    return answerOperatorError(D, Exchange, error(Read));
  const RolloutRequest &Request = value(Read);
  const auto Command = parseEnum<RolloutCommand>(Request.Command);
  const bool IsStart = Command == RolloutCommand::Start;
  const bool Whole = !Request.Name.empty() && !Request.ToVersion.empty() &&
                     Request.Within >= minutes(1) && !Known->Version.empty() &&
                     Known->Version != Request.ToVersion;
  if (!Command || Request.Author.empty() || (IsStart && !Whole))
    return answerOperatorError(
        D, Exchange,
        {ErrorKind::BadRequest,
         "needs command (start, pause, resume, abort) and author; start needs "
         "name, to_version other than the pool's own, and within_ms of at "
         "least 60000"});
  RolloutCommanded Commanded;
  Commanded.Call = ++D.LastRolloutCall;
  Commanded.Command = *Command;
  Commanded.Author = Request.Author;
  Commanded.Requested.Name = Request.Name;
  Commanded.Requested.Pool = Known->Name;
  Commanded.Requested.FromVersion = Known->Version;
  Commanded.Requested.ToVersion = Request.ToVersion;
  Commanded.Requested.Deadline = D.Loop.wallClockNow() + Request.Within;
  D.RolloutCalls[Commanded.Call] = Exchange;
  stepLeader(D, idOf<PoolId>(Known->Name), Commanded);
}

} // namespace marjorambay
