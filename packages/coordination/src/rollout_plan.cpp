/// The ramp of a rollout, planned backward from its deadline, and the orders
/// to targets that it needs.
#include "marjorambay/coordination/rollout.h"

#include <algorithm>
#include <array>

namespace marjorambay {

namespace {

/// Shares after the canary. The last step leaves a few requests on the old
/// version, to compare with.
constexpr std::array<double, 6> RampShares = {0.03, 0.08, 0.2, 0.45, 0.75, 0.9};

/// Spare capacity that targets of the new version have for its share.
constexpr double TargetHeadroom = 1.25;

/// Number of ramp steps above a share.
std::size_t stepsLeft(double Share) {
  return static_cast<std::size_t>(
      std::count_if(RampShares.begin(), RampShares.end(),
                    [&](double Step) { return Step > Share; }));
}

} // namespace

RolloutState RolloutLeader::moved(RolloutPhase Phase, double Share,
                                  std::string Note) const {
  RolloutState State = isLeader() ? renewed() : *Known;
  State.Phase = Phase;
  State.Share = Share;
  State.PhaseSince = Wall;
  State.History.push_back({Wall, Phase, Share, std::move(Note)});
  if (State.History.size() > MaxRolloutHistory)
    State.History.erase(State.History.begin());
  return State;
}

Duration RolloutLeader::timeInPhase() const {
  const Duration SinceChange = Wall - Known->PhaseSince;
  const Duration SinceLeading = LastNow - LeadingSince;
  return std::min(SinceChange, SinceLeading);
}

/// Time for each remaining step when they share the time left evenly.
Duration RolloutLeader::plannedStep() const {
  const Duration Window = Known->Deadline - Known->Started;
  const Duration Margin =
      std::chrono::duration_cast<Duration>(Window * Pace.Margin);
  const Duration Left =
      Known->Deadline - Known->PhaseSince - Margin - Pace.LeastSoak;
  const std::size_t Steps = stepsLeft(Known->Share) + 1;
  const Duration Even = Left / static_cast<std::int64_t>(Steps);
  if (Known->Phase != RolloutPhase::Canary)
    return std::max(Even, Pace.LeastStep);
  return std::max(
      std::chrono::duration_cast<Duration>(Left * Pace.CanaryFraction),
      Pace.LeastStep);
}

std::optional<RolloutState> RolloutLeader::nextMove() const {
  if (!TripReason.empty())
    return moved(RolloutPhase::TakenBack, 0, TripReason);
  if (Wall >= Known->Deadline)
    return moved(RolloutPhase::TakenBack, 0, "not completed by the deadline");
  if (Known->Paused)
    return std::nullopt;
  return nextStep();
}

std::optional<RolloutState> RolloutLeader::nextStep() const {
  const Duration Spent = timeInPhase();
  const std::uint64_t Answers = Test.newAnswers() - AnswersAtStep;
  const bool PlannedEnd =
      Wall - Known->PhaseSince >= plannedStep() && Spent >= Pace.LeastStep;

  switch (Known->Phase) {
  case RolloutPhase::Loading:
    if (loadedTargets() < wantedTargets())
      return std::nullopt;
    return moved(RolloutPhase::Canary, Pace.CanaryShare, "first targets ready");
  case RolloutPhase::Canary:
    if (!PlannedEnd || Answers < Pace.LeastCanaryAnswers)
      return std::nullopt;
    return moved(RolloutPhase::Ramping, RampShares.front(),
                 std::to_string(Answers) + " canary answers");
  case RolloutPhase::Ramping: {
    if (!PlannedEnd || Answers == 0 || loadedTargets() < wantedTargets())
      return std::nullopt;
    if (stepsLeft(Known->Share) == 0)
      return moved(RolloutPhase::Soaking, 1, "all traffic moved");
    const double Next =
        *std::upper_bound(RampShares.begin(), RampShares.end(), Known->Share);
    return moved(RolloutPhase::Ramping, Next,
                 std::to_string(Answers) + " answers in the step");
  }
  case RolloutPhase::Soaking:
    if (Spent < Pace.LeastSoak)
      return std::nullopt;
    return moved(RolloutPhase::Completed, 1, "completed");
  case RolloutPhase::Completed:
  case RolloutPhase::TakenBack:
    break;
  }
  return std::nullopt;
}

// ---- Orders to targets
// ------------------------------------------------------

bool RolloutLeader::hasNewVersion(const TargetShown &Target) const {
  const auto To = idOf<VersionId>(Known->ToVersion);
  return std::count(Target.Versions.begin(), Target.Versions.end(), To) > 0;
}

std::size_t RolloutLeader::loadedTargets() const {
  return static_cast<std::size_t>(std::count_if(
      Targets.begin(), Targets.end(), [&](const TargetShown &Target) {
        return !Target.Leaving && hasNewVersion(Target);
      }));
}

/// Targets that the present step, and the one after it, need loaded.
std::size_t RolloutLeader::wantedTargets() const {
  const auto All = static_cast<std::size_t>(
      std::count_if(Targets.begin(), Targets.end(),
                    [](const TargetShown &One) { return !One.Leaving; }));
  if (Known->Phase == RolloutPhase::Soaking)
    return All;
  const auto Above =
      std::upper_bound(RampShares.begin(), RampShares.end(), Known->Share);
  const double Next = Above == RampShares.end() ? 1.0 : *Above;
  const double Count = Next * TargetHeadroom * static_cast<double>(All);
  return std::clamp<std::size_t>(static_cast<std::size_t>(Count) + 1, 1,
                                 std::max<std::size_t>(All, 1));
}

void RolloutLeader::orderTargets(RolloutActions &Actions) {
  // A new leader lets the orders of the one before run out first, for the
  // targets that do not check fencing numbers.
  if (LastNow - LeadingSince < Pace.ClockSkew || Known->Paused)
    return;
  std::size_t Loading = 0;
  for (const TargetShown &Target : Targets) {
    const auto Ordered = OrderedAt.find(Target.Target);
    if (Ordered == OrderedAt.end())
      continue;
    const bool Over = hasNewVersion(Target) || Target.Leaving ||
                      LastNow - Ordered->second >= Pace.LoadTimeout;
    if (Over)
      OrderedAt.erase(Ordered);
    else
      ++Loading;
  }
  std::size_t Missing = wantedTargets();
  Missing -= std::min(Missing, loadedTargets() + Loading);
  for (const TargetShown &Target : Targets) {
    if (Missing == 0 || Loading >= Pace.LoadsAtOnce)
      return;
    if (Target.Leaving || hasNewVersion(Target) ||
        OrderedAt.count(Target.Target) > 0)
      continue;
    OrderedAt[Target.Target] = LastNow;
    ++Loading;
    --Missing;
    Actions.push_back(OrderLoad{Target.Target, Known->ToVersion, Known->Fence});
  }
}

} // namespace marjorambay
