/// RolloutLeader: the ramp, planned backward from the deadline, and the load
/// orders to targets.
#include "marjorambay/coordination/rollout.h"

#include <algorithm>
#include <array>

namespace marjorambay {

namespace {

/// Shares after the canary. The last step leaves a few requests on the old
/// version for comparison.
constexpr std::array<double, 6> RampShares = {0.03, 0.08, 0.2, 0.45, 0.75, 0.9};

/// Capacity of the targets of the new version, relative to its share.
constexpr double TargetHeadroom = 1.25;

/// Number of ramp steps above a share.
std::size_t stepsLeft(double Share) {
  return static_cast<std::size_t>(
      std::count_if(RampShares.begin(), RampShares.end(),
                    [&](double Step) { return Step > Share; }));
}

double nextShare(double Share) {
  const auto *const Above =
      std::upper_bound(RampShares.begin(), RampShares.end(), Share);
  return Above == RampShares.end() ? 1.0 : *Above;
}

} // namespace

RolloutState RolloutLeader::withStep(RolloutPhase Phase, double Share,
                                     std::string Note) const {
  RolloutState State = isLeader() ? withRenewedLease() : *Latest;
  State.Phase = Phase;
  State.Share = Share;
  State.PhaseSince = WallClock;
  State.History.push_back({WallClock, Phase, Share, std::move(Note)});
  if (State.History.size() > MaxRolloutHistory)
    State.History.erase(State.History.begin());
  return State;
}

Duration RolloutLeader::timeInPhase() const {
  const Duration SinceChange = WallClock - Latest->PhaseSince;
  const Duration SinceLeading = LastNow - LeadingSince;
  return std::min(SinceChange, SinceLeading);
}

/// Returns the planned duration of the current step. The canary gets its
/// fraction of the remaining time; later steps share it evenly.
Duration RolloutLeader::plannedStep() const {
  const Duration Window = Latest->Deadline - Latest->Started;
  const Duration Margin =
      std::chrono::duration_cast<Duration>(Window * Pacing.DeadlineMargin);
  const Duration Left =
      Latest->Deadline - Latest->PhaseSince - Margin - Pacing.MinSoakTime;
  const auto Steps = static_cast<std::int64_t>(stepsLeft(Latest->Share)) + 1;
  if (Latest->Phase != RolloutPhase::Canary)
    return std::max<Duration>(Left / Steps, Pacing.MinStepTime);
  const auto Planned =
      std::chrono::duration_cast<Duration>(Left * Pacing.CanaryFraction);
  const Duration Longest = Left - Steps * Pacing.MinStepTime;
  const bool HasEvidence = Comparison.newAnswers() >= Pacing.SufficientAnswers;
  return std::max(
      {Planned, HasEvidence ? Planned : Longest, Pacing.MinStepTime});
}

std::optional<RolloutState> RolloutLeader::nextMove() const {
  if (!TripReason.empty())
    return withStep(RolloutPhase::RolledBack, 0, TripReason);
  if (WallClock >= Latest->Deadline)
    return withStep(RolloutPhase::RolledBack, 0,
                    "not completed by the deadline");
  if (Latest->Paused)
    return std::nullopt;
  return nextStep();
}

std::optional<RolloutState> RolloutLeader::nextStep() const {
  const Duration Elapsed = timeInPhase();
  const std::uint64_t Answers = Comparison.newAnswers() - AnswersAtStep;
  const bool PlannedEnd = WallClock - Latest->PhaseSince >= plannedStep() &&
                          Elapsed >= Pacing.MinStepTime &&
                          !Comparison.isSuspicious();

  switch (Latest->Phase) {
  case RolloutPhase::Loading:
    if (loadedTargets() < requiredTargets() || !coversAllZones())
      return std::nullopt;
    return withStep(RolloutPhase::Canary, Pacing.CanaryShare,
                    "first targets ready");
  case RolloutPhase::Canary:
    if (!PlannedEnd || Answers < Pacing.MinCanaryAnswers)
      return std::nullopt;
    return withStep(RolloutPhase::Ramping, nextShare(Latest->Share),
                    std::to_string(Answers) + " canary answers");
  case RolloutPhase::Ramping: {
    if (!PlannedEnd || Answers == 0 || loadedTargets() < requiredTargets())
      return std::nullopt;
    if (stepsLeft(Latest->Share) == 0)
      return withStep(RolloutPhase::Soaking, 1, "all traffic moved");
    return withStep(RolloutPhase::Ramping, nextShare(Latest->Share),
                    std::to_string(Answers) + " answers in the step");
  }
  case RolloutPhase::Soaking:
    if (Elapsed < Pacing.MinSoakTime)
      return std::nullopt;
    return withStep(RolloutPhase::Completed, 1, "completed");
  case RolloutPhase::Completed:
  case RolloutPhase::RolledBack:
    break;
  }
  return std::nullopt;
}

// ---- Orders to targets -----------------------------------------------------

bool RolloutLeader::hasNewVersion(const TargetStatus &Target) const {
  const auto To = idOf<VersionId>(Latest->ToVersion);
  return std::count(Target.Versions.begin(), Target.Versions.end(), To) > 0;
}

std::size_t RolloutLeader::loadedTargets() const {
  return static_cast<std::size_t>(std::count_if(
      Targets.begin(), Targets.end(), [&](const TargetStatus &Target) {
        return !Target.Leaving && hasNewVersion(Target);
      }));
}

/// Returns the zones in which no target has the new version. Requests are
/// served in their own zone, so a canary gets answers only in zones with a
/// loaded target.
std::set<ZoneId> RolloutLeader::zonesWithoutNewVersion() const {
  std::set<ZoneId> Zones;
  for (const TargetStatus &Target : Targets)
    if (!Target.Leaving)
      Zones.insert(Target.Zone);
  for (const TargetStatus &Target : Targets)
    if (!Target.Leaving && hasNewVersion(Target))
      Zones.erase(Target.Zone);
  return Zones;
}

/// Whether every zone has a loaded target. An unreachable zone delays the
/// canary for at most MaxZoneWait.
bool RolloutLeader::coversAllZones() const {
  const Duration Window = Latest->Deadline - Latest->Started;
  const auto Longest =
      std::chrono::duration_cast<Duration>(Window * Pacing.MaxZoneWait);
  return zonesWithoutNewVersion().empty() ||
         WallClock - Latest->PhaseSince >= Longest;
}

/// Returns the number of loaded targets that the current and the next step
/// require.
std::size_t RolloutLeader::requiredTargets() const {
  const auto Total = static_cast<std::size_t>(std::count_if(
      Targets.begin(), Targets.end(),
      [](const TargetStatus &Target) { return !Target.Leaving; }));
  if (Latest->Phase == RolloutPhase::Soaking)
    return Total;
  const double Count =
      nextShare(Latest->Share) * TargetHeadroom * static_cast<double>(Total);
  return std::clamp<std::size_t>(static_cast<std::size_t>(Count) + 1, 1,
                                 std::max<std::size_t>(Total, 1));
}

void RolloutLeader::orderLoads(RolloutActions &Actions) {
  // Some targets do not check fencing tokens, so a new leader first waits until
  // orders of the previous one can no longer arrive.
  if (LastNow - LeadingSince < Pacing.MaxClockSkew || Latest->Paused)
    return;
  std::size_t Loading = 0;
  for (const TargetStatus &Target : Targets) {
    const auto Ordered = OrderedAt.find(Target.Target);
    if (Ordered == OrderedAt.end())
      continue;
    const bool Finished = hasNewVersion(Target) || Target.Leaving ||
                          LastNow - Ordered->second >= Pacing.LoadTimeout;
    if (Finished)
      OrderedAt.erase(Ordered);
    else
      ++Loading;
  }
  std::size_t Missing = requiredTargets();
  Missing -= std::min(Missing, loadedTargets() + Loading);
  const auto Order = [&](const TargetStatus &Target) {
    OrderedAt[Target.Target] = LastNow;
    ++Loading;
    Missing -= std::min<std::size_t>(Missing, 1);
    Actions.push_back(
        OrderLoad{Target.Target, Latest->ToVersion, Latest->FencingToken});
  };
  const auto MayOrder = [&](const TargetStatus &Target) {
    return Loading < Pacing.MaxConcurrentLoads && !Target.Leaving &&
           !hasNewVersion(Target) && OrderedAt.count(Target.Target) == 0;
  };
  std::set<ZoneId> ZonesToCover = zonesWithoutNewVersion();
  for (const TargetStatus &Target : Targets)
    if (OrderedAt.count(Target.Target) > 0)
      ZonesToCover.erase(Target.Zone);
  for (const TargetStatus &Target : Targets)
    if (ZonesToCover.count(Target.Zone) > 0 && MayOrder(Target)) {
      ZonesToCover.erase(Target.Zone);
      Order(Target);
    }
  for (const TargetStatus &Target : Targets)
    if (Missing > 0 && MayOrder(Target))
      Order(Target);
}

} // namespace marjorambay
