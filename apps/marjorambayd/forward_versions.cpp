/// Versions under rollout: decisions of the rollout coordinator, evidence, and
/// the version that a request may be sent to.
#include "forward_host.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjorambay {

namespace {

/// Returns the most common version among a pool's targets, without the one
/// under rollout and those rolled back.
VersionId commonVersion(const ForwardHost &H, PoolId Pool,
                        const PoolVersions &Versions) {
  std::map<VersionId, std::size_t> Counts;
  for (const auto &[Id, Target] : H.Targets) {
    const bool UnderRollout =
        Versions.Rollout && Target.Version == Versions.Rollout->version();
    if (Target.Pool == Pool && !UnderRollout &&
        Versions.RolledBack.count(Target.Version) == 0)
      ++Counts[Target.Version];
  }
  VersionId Common{};
  std::size_t HighestCount = 0;
  for (const auto &[Version, Count] : Counts)
    if (Count > HighestCount) {
      HighestCount = Count;
      Common = Version;
    }
  return Common;
}

bool anyServes(const ForwardHost &H, PoolId Pool, VersionId Version) {
  return std::any_of(
      H.Targets.begin(), H.Targets.end(), [&](const auto &Entry) {
        return Entry.second.Pool == Pool && Entry.second.Version == Version;
      });
}

bool isCoordinator(const ForwardHost &H, PoolId Pool) {
  const auto Hub = arbiterOf(H, Pool);
  return Hub && *Hub == H.Self.Id;
}

RolloutId rolloutId(PoolId Pool, VersionId Version) {
  return RolloutId{number(Pool) ^ (number(Version) * 31)};
}

/// Passes the stage of a rollout to the guard, which compares the versions
/// until the rollout ends.
void updateGuard(PoolId Pool, PoolVersions &Versions) {
  RolloutView View;
  View.Id = rolloutId(Pool, Versions.Rollout->version());
  View.Pool = Pool;
  View.From = Versions.Serving;
  View.To = Versions.Rollout->version();
  View.ObjectVersion = ++Versions.ViewSequence;
  View.Phase = isFinal(Versions.Decision.Stage) ? RolloutPhase::RolledBack
                                                : RolloutPhase::Canary;
  View.Share = Versions.Decision.Share;
  View.Deadline = WallTime::max();
  Versions.Guard.step(ViewUpdated{View});
}

/// Mean rank of the new version's latest latencies among those of the old one:
/// about 50 if both are as fast, 0 if there are none.
std::int64_t rankPercent(const QuickRollout &Rollout, LatencyKind Kind) {
  return std::lround(100 * Rollout.latencies().meanRank(Kind));
}

/// Deviation of the new version's latencies, in hundredths of a standard
/// deviation; 0 if there are too few.
std::int64_t deviationPercent(const QuickRollout &Rollout, LatencyKind Kind,
                              LatencyScore Score) {
  const LatencyScores &Scores = Rollout.latencies().scores(Kind);
  return std::lround(100 * Scores.deviation(Score).value_or(0));
}

/// Logs a stage; with the evidence for it on the coordinator, which alone has
/// all of it.
void logStage(const ForwardHost &H, PoolId Pool) {
  const PoolVersions &Versions = H.Pools.at(Pool).Versions;
  const QuickRollout &Rollout = *Versions.Rollout;
  LogLine("version_stage")
      .with("pool", static_cast<std::int64_t>(number(Pool)))
      .with("version", Versions.RolloutName)
      .with("stage", nameOf(Versions.Decision.Stage));
  if (!isCoordinator(H, Pool))
    return;
  const LatencyKind First = LatencyKind::FirstEvent;
  LogLine("version_evidence")
      .with("pool", static_cast<std::int64_t>(number(Pool)))
      .with("version", Versions.RolloutName)
      .with("stage", nameOf(Versions.Decision.Stage))
      .with("cause", nameOf(Rollout.cause()))
      .with("new_answers", static_cast<std::int64_t>(Rollout.newAnswers()))
      .with("new_failures", static_cast<std::int64_t>(Rollout.newFailures()))
      .with("shared_failures",
            static_cast<std::int64_t>(Rollout.sharedFailures()))
      .with("new_compared",
            static_cast<std::int64_t>(Rollout.latencies().compared()))
      .with("shift", deviationPercent(Rollout, First, LatencyScore::Shift))
      .with("lateness",
            deviationPercent(Rollout, First, LatencyScore::Lateness))
      .with("first_event_rank", rankPercent(Rollout, First))
      .with("event_rank", rankPercent(Rollout, LatencyKind::PerEvent))
      .with("pace_percent",
            std::lround(100 * Rollout.paces().ratio().value_or(0)));
}

/// Applies a decision on this host.
void applyDecision(ForwardHost &H, PoolId Pool,
                   const VersionDecision &Decision) {
  PoolVersions &Versions = H.Pools[Pool].Versions;
  const bool StageChanged = Versions.Decision.Stage != Decision.Stage ||
                            Versions.Decision.Version != Decision.Version;
  const bool Changed =
      StageChanged || Versions.Decision.Share != Decision.Share;
  Versions.Decision = Decision;
  if (!Changed)
    return;
  if (Decision.Stage == VersionStage::Completed)
    Versions.Serving = Decision.Version;
  if (Decision.Stage == VersionStage::RolledBack)
    Versions.RolledBack.insert(Decision.Version);
  if (StageChanged) {
    updateGuard(Pool, Versions);
    logStage(H, Pool);
  }
  publishTargets(H, Pool);
}

void broadcastDecision(ForwardHost &H, const VersionDecision &Decision) {
  FleetDigest Digest;
  Digest.Ready = isReady(H);
  Digest.ConfigVersion = H.Table ? H.Table->version() : 0;
  Digest.Decisions.push_back(Decision);
  for (const auto &[Id, Peer] : H.Fleet)
    if (Peer.Listed)
      sendTo(H, Id, Digest);
}

void reportStage(ForwardHost &H, PoolId Pool, PoolVersions &Versions) {
  const VersionStage Stage = Versions.Decision.Stage;
  const bool Reported =
      Versions.HasWrittenStage && Versions.WrittenStage == Stage;
  if (Reported || Stage == VersionStage::Switching)
    return;
  Versions.WrittenStage = Stage;
  Versions.HasWrittenStage = true;
  H.StageReached.emit(Pool, Versions.RolloutName, Stage);
}

void stepCoordinator(ForwardHost &H, PoolId Pool) {
  PoolVersions &Versions = H.Pools[Pool].Versions;
  const VersionStage Before = Versions.Decision.Stage;
  Versions.Rollout->setReachable(
      !isVersionEvacuated(H, Pool, Versions.Rollout->version()));
  const VersionDecision Decision = Versions.Rollout->step(H.Loop.now());
  applyDecision(H, Pool, Decision);
  if (Decision.Stage != Before)
    broadcastDecision(H, Decision);
  reportStage(H, Pool, Versions);
}

void sendEvidence(ForwardHost &H, PoolId Pool) {
  PoolVersions &Versions = H.Pools[Pool].Versions;
  for (const GuardAction &Action :
       Versions.Guard.step(GuardTicked{WallTime{}})) {
    const auto *Ready = std::get_if<EvidenceReady>(&Action);
    if (Ready == nullptr)
      continue;
    const EvidenceArrived Evidence{Ready->Rollout, Ready->Cells,
                                   Ready->Latencies, Ready->Paces};
    const auto Hub = arbiterOf(H, Pool);
    if (!Hub || *Hub == H.Self.Id)
      handleEvidence(H, Evidence);
    else
      sendTo(H, *Hub, Evidence);
  }
}

} // namespace

bool runsServingVersion(const ForwardHost &H, const ListedTarget &Target) {
  const auto Found = H.Pools.find(Target.Pool);
  if (Found == H.Pools.end())
    return true;
  const PoolVersions &Versions = Found->second.Versions;
  return number(Versions.Serving) == 0 || Target.Version == Versions.Serving;
}

VersionId selectVersion(ForwardHost &H, ForwardCall &Call) {
  PoolVersions &Versions = H.Pools[Call.Pool].Versions;
  if (!Versions.Rollout || Versions.Decision.Share <= 0 ||
      isFinal(Versions.Decision.Stage))
    return VersionId{};
  // The version may have been rolled back during a pause of this process.
  if (isResuming(H) && anyServes(H, Call.Pool, Versions.Serving))
    return VersionId{};
  const VersionId New = Versions.Rollout->version();
  if (Call.FailedVersion == New) // tells whether the request or the version
    return VersionId{};          // is at fault
  if (Versions.Decision.Share >= 1)
    return New;
  if (std::exchange(Call.VersionSelected, true))
    return VersionId{};
  Versions.Credit = std::min(2.0, Versions.Credit + Versions.Decision.Share);
  if (Versions.Credit < 1)
    return VersionId{};
  Versions.Credit -= 1;
  return Versions.Rollout->version();
}

void publishVersions(ForwardHost &H, PoolId Pool, Arbiter &To) {
  const PoolVersions &Versions = H.Pools[Pool].Versions;
  const TimePoint Now = H.Loop.now();
  if (number(Versions.Serving) == 0)
    return;
  const bool Switching =
      Versions.Rollout && Versions.Decision.Stage == VersionStage::Switching;
  To.step(ServingVersionChanged{Switching ? Versions.Rollout->version()
                                          : Versions.Serving},
          Now);
  To.step(VersionShareChanged{Versions.Serving, Switching ? 0.0 : 1.0}, Now);
  for (const VersionId RolledBackVersion : Versions.RolledBack)
    To.step(VersionTripped{RolledBackVersion}, Now);
  if (!Versions.Rollout || isFinal(Versions.Decision.Stage))
    return;
  // The local-share arbiter has no count of other hosts' grants, so it must not
  // grant the new version.
  const bool IsLocalShare = &To == H.Pools[Pool].LocalShareArbiter.get();
  const double Share = !IsLocalShare || Switching ? Versions.Decision.Share : 0;
  To.step(VersionShareChanged{Versions.Rollout->version(), Share}, Now);
}

void observeVersion(ForwardHost &H, ForwardCall &Call,
                    const TargetAttempt &Attempt, const Usage &Used,
                    bool Failed) {
  PoolVersions &Versions = H.Pools[Call.Pool].Versions;
  AnswerObserved Observed;
  Observed.Version = Attempt.Version;
  Observed.Stratum.Route = Call.Route->Id;
  Observed.Failed = Failed;
  Observed.FirstTokenSeconds = toSeconds(Used.TimeToFirstToken);
  if (Used.OutputTokens > 1)
    Observed.SecondsPerToken =
        toSeconds(Used.Total - Used.TimeToFirstToken) / Used.OutputTokens;
  Versions.Guard.step(Observed);
  if (!Failed)
    return;
  const VersionId Before = std::exchange(Call.FailedVersion, Attempt.Version);
  const VersionId New =
      Versions.Rollout ? Versions.Rollout->version() : VersionId{};
  const bool BothFailed = number(Before) != 0 && Before != Attempt.Version &&
                          (Before == New || Attempt.Version == New);
  if (BothFailed)
    Versions.Guard.step(FailureShared{Observed.Stratum});
}

void observeLatency(ForwardHost &H, const ForwardCall &Call, LatencyKind Kind,
                    TimePoint StartedAt, Duration Elapsed) {
  LatencyObserved Observed;
  Observed.Version = Call.Current.Version;
  Observed.Route = Call.Route->Id;
  Observed.Target = Call.Current.Target;
  Observed.Kind = Kind;
  Observed.StartedAt = StartedAt;
  Observed.Elapsed = Elapsed;
  H.Pools[Call.Pool].Versions.Guard.step(Observed);
}

void observePace(ForwardHost &H, const ForwardCall &Call, Duration Pace) {
  H.Pools[Call.Pool].Versions.Guard.step(
      PaceObserved{Call.Current.Version, Call.Current.Target, Pace});
}

void handleEvidence(ForwardHost &H, const EvidenceArrived &Arrived) {
  for (auto &[Pool, State] : H.Pools) {
    PoolVersions &Versions = State.Versions;
    if (!Versions.Rollout ||
        rolloutId(Pool, Versions.Rollout->version()) != Arrived.Rollout)
      continue;
    Versions.Rollout->add(Arrived.Cells, Arrived.Latencies, Arrived.Paces,
                          H.Loop.now());
    if (isCoordinator(H, Pool))
      stepCoordinator(H, Pool);
  }
}

void mergeDecision(ForwardHost &H, const VersionDecision &Decision) {
  const auto Found = H.Pools.find(Decision.Pool);
  if (Found == H.Pools.end())
    return;
  PoolVersions &Versions = Found->second.Versions;
  const bool Same = Versions.Rollout &&
                    Versions.Rollout->version() == Decision.Version &&
                    !isFinal(Versions.Decision.Stage);
  if (!Same || Decision.Stage < Versions.Decision.Stage)
    return;
  Versions.Rollout->merge(Decision);
  applyDecision(H, Decision.Pool, Decision);
}

std::vector<VersionDecision> coordinatedDecisions(const ForwardHost &H) {
  std::vector<VersionDecision> Orders;
  for (const auto &[Pool, State] : H.Pools)
    if (State.Versions.Rollout && isCoordinator(H, Pool))
      Orders.push_back(State.Versions.Decision);
  return Orders;
}

void updateServingVersions(ForwardHost &H) {
  for (auto &[Pool, State] : H.Pools) {
    PoolVersions &Versions = State.Versions;
    const bool Gone = !anyServes(H, Pool, Versions.Serving);
    if (number(Versions.Serving) != 0 && !Gone)
      continue;
    const VersionId Common = commonVersion(H, Pool, Versions);
    if (number(Common) != 0)
      Versions.Serving = Common;
  }
}

void applyRollouts(ForwardHost &H, const std::vector<RolloutSpec> &Specs) {
  H.RolloutsKnown = true;
  for (const RolloutSpec &Spec : Specs) {
    PoolVersions &Versions = H.Pools[Spec.Pool].Versions;
    const VersionId NewVersion = idOf<VersionId>(Spec.Version);
    const bool Known =
        Versions.Rollout && Versions.Rollout->version() == NewVersion;
    if (!Known) {
      Versions.Rollout.emplace(Spec.Pool, NewVersion, Spec.Window, H.Loop.now(),
                               H.Bounds.Rollout);
      Versions.RolloutName = Spec.Version;
      Versions.Decision = VersionDecision{Spec.Pool, NewVersion};
      Versions.Credit = 0;
      LogLine("rollout_ordered")
          .with("pool", static_cast<std::int64_t>(number(Spec.Pool)))
          .with("version", Spec.Version)
          .with("window_ms",
                std::chrono::duration_cast<milliseconds>(Spec.Window).count());
      if (Versions.Serving == NewVersion)
        Versions.Serving = commonVersion(H, Spec.Pool, Versions);
      updateGuard(Spec.Pool, Versions);
      publishTargets(H, Spec.Pool);
    }
    // Without a status, none was written yet or a restore has undone it.
    Versions.HasWrittenStage = Spec.Stage.has_value();
    if (!Spec.Stage)
      continue;
    Versions.WrittenStage = *Spec.Stage;
    if (isFinal(*Spec.Stage) && !isFinal(Versions.Decision.Stage)) {
      VersionDecision Final{Spec.Pool, NewVersion, *Spec.Stage};
      Final.Share = *Spec.Stage == VersionStage::Completed ? 1 : 0;
      Versions.Rollout->merge(Final);
      applyDecision(H, Spec.Pool, Final);
    }
  }
}

void tickVersions(ForwardHost &H) {
  std::vector<PoolId> Pools;
  for (const auto &[Pool, State] : H.Pools)
    if (State.Versions.Rollout)
      Pools.push_back(Pool);
  for (const PoolId Pool : Pools) {
    sendEvidence(H, Pool);
    if (isCoordinator(H, Pool))
      stepCoordinator(H, Pool);
  }
}

} // namespace marjorambay
