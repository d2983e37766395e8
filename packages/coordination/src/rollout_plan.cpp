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

double nextShare(double Share) {
  const auto *const Above =
      std::upper_bound(RampShares.begin(), RampShares.end(), Share);
  return Above == RampShares.end() ? 1.0 : *Above;
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
  const auto Steps = static_cast<std::int64_t>(stepsLeft(Known->Share)) + 1;
  if (Known->Phase != RolloutPhase::Canary)
    return std::max<Duration>(Left / Steps, Pace.LeastStep);
  const auto Planned =
      std::chrono::duration_cast<Duration>(Left * Pace.CanaryFraction);
  const Duration Longest = Left - Steps * Pace.LeastStep;
  const bool Telling = Test.newAnswers() >= Pace.TellingAnswers;
  return std::max({Planned, Telling ? Planned : Longest, Pace.LeastStep});
}

std::optional<RolloutState> RolloutLeader::nextMove() const {
  if (!TripReason.empty())
    return moved(RolloutPhase::RolledBack, 0, TripReason);
  if (Wall >= Known->Deadline)
    return moved(RolloutPhase::RolledBack, 0, "not completed by the deadline");
  if (Known->Paused)
    return std::nullopt;
  return nextStep();
}

std::optional<RolloutState> RolloutLeader::nextStep() const {
  const Duration Spent = timeInPhase();
  const std::uint64_t Answers = Test.newAnswers() - AnswersAtStep;
  const bool PlannedEnd = Wall - Known->PhaseSince >= plannedStep() &&
                          Spent >= Pace.LeastStep && !Test.suspects();

  switch (Known->Phase) {
  case RolloutPhase::Loading:
    if (loadedTargets() < wantedTargets() || !isSpreadOverZones())
      return std::nullopt;
    return moved(RolloutPhase::Canary, Pace.CanaryShare, "first targets ready");
  case RolloutPhase::Canary:
    if (!PlannedEnd || Answers < Pace.LeastCanaryAnswers)
      return std::nullopt;
    return moved(RolloutPhase::Ramping, nextShare(Known->Share),
                 std::to_string(Answers) + " canary answers");
  case RolloutPhase::Ramping: {
    if (!PlannedEnd || Answers == 0 || loadedTargets() < wantedTargets())
      return std::nullopt;
    if (stepsLeft(Known->Share) == 0)
      return moved(RolloutPhase::Soaking, 1, "all traffic moved");
    return moved(RolloutPhase::Ramping, nextShare(Known->Share),
                 std::to_string(Answers) + " answers in the step");
  }
  case RolloutPhase::Soaking:
    if (Spent < Pace.LeastSoak)
      return std::nullopt;
    return moved(RolloutPhase::Completed, 1, "completed");
  case RolloutPhase::Completed:
  case RolloutPhase::RolledBack:
    break;
  }
  return std::nullopt;
}

// ---- Orders to targets -----------------------------------------------------

bool RolloutLeader::hasNewVersion(const TargetStatus &Target) const {
  const auto To = idOf<VersionId>(Known->ToVersion);
  return std::count(Target.Versions.begin(), Target.Versions.end(), To) > 0;
}

std::size_t RolloutLeader::loadedTargets() const {
  return static_cast<std::size_t>(std::count_if(
      Targets.begin(), Targets.end(), [&](const TargetStatus &Target) {
        return !Target.Leaving && hasNewVersion(Target);
      }));
}

/// Zones whose targets all lack the new version. Requests are served in their
/// own zone, so that a canary gets answers only where a target has it.
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

/// Whether the canary may begin; a zone out of reach holds it up for a while.
bool RolloutLeader::isSpreadOverZones() const {
  const Duration Window = Known->Deadline - Known->Started;
  const auto Longest =
      std::chrono::duration_cast<Duration>(Window * Pace.ZoneWait);
  return zonesWithoutNewVersion().empty() ||
         Wall - Known->PhaseSince >= Longest;
}

/// Targets that the present step, and the one after it, need loaded.
std::size_t RolloutLeader::wantedTargets() const {
  const auto All = static_cast<std::size_t>(
      std::count_if(Targets.begin(), Targets.end(),
                    [](const TargetStatus &One) { return !One.Leaving; }));
  if (Known->Phase == RolloutPhase::Soaking)
    return All;
  const double Count =
      nextShare(Known->Share) * TargetHeadroom * static_cast<double>(All);
  return std::clamp<std::size_t>(static_cast<std::size_t>(Count) + 1, 1,
                                 std::max<std::size_t>(All, 1));
}

void RolloutLeader::orderTargets(RolloutActions &Actions) {
  // A new leader lets the orders of the one before run out first, for the
  // targets that do not check fencing numbers.
  if (LastNow - LeadingSince < Pace.ClockSkew || Known->Paused)
    return;
  std::size_t Loading = 0;
  for (const TargetStatus &Target : Targets) {
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
  const auto Order = [&](const TargetStatus &Target) {
    OrderedAt[Target.Target] = LastNow;
    ++Loading;
    Missing -= std::min<std::size_t>(Missing, 1);
    Actions.push_back(
        OrderLoad{Target.Target, Known->ToVersion, Known->FencingToken});
  };
  const auto MayOrder = [&](const TargetStatus &Target) {
    return Loading < Pace.LoadsAtOnce && !Target.Leaving &&
           !hasNewVersion(Target) && OrderedAt.count(Target.Target) == 0;
  };
  std::set<ZoneId> Without = zonesWithoutNewVersion();
  for (const TargetStatus &Target : Targets)
    if (OrderedAt.count(Target.Target) > 0)
      Without.erase(Target.Zone);
  for (const TargetStatus &Target : Targets)
    if (Without.count(Target.Zone) > 0 && MayOrder(Target)) {
      Without.erase(Target.Zone);
      Order(Target);
    }
  for (const TargetStatus &Target : Targets)
    if (Missing > 0 && MayOrder(Target))
      Order(Target);
}

} // namespace marjorambay
