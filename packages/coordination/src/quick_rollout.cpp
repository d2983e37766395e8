/// Shares and stages of a rollout that lasts seconds.
#include "marjorambay/coordination/quick_rollout.h"

#include <algorithm>

namespace marjorambay {

void QuickRollout::add(const Evidence &Cells, const LatencyCells &Latencies,
                       const PaceSamples &Paces, TimePoint Now) {
  RecentBatch Batch;
  for (const EvidenceCell &Cell : Cells) {
    if (Cell.Kind == FaultKind::Slowness)
      continue;
    Answers += Cell.OldAnswers + Cell.NewAnswers;
    NewAnswers += Cell.NewAnswers;
    NewFailures += Cell.NewBad;
    Batch.Answers += Cell.NewAnswers;
    SharedFailures += Cell.SharedBad;
    Batch.Failures += std::int64_t{Cell.NewBad} - Cell.SharedBad;
  }
  recordBatch(Batch);
  Comparison.add(Cells);
  Latency.add(Latencies, Now);
  Pace.add(Paces);
}

void QuickRollout::merge(const VersionDecision &Order) {
  if (Order.Pool != Pool || Order.Version != To || isFinal(Stage))
    return;
  if (Order.Stage > Stage)
    Stage = Order.Stage;
}

double QuickRollout::requestRate(TimePoint Now) const {
  const double Elapsed = std::max(0.5, toSeconds(Now - StartedAt));
  return static_cast<double>(Answers) / Elapsed;
}

double QuickRollout::budget(TimePoint Now) const {
  const double Expected = requestRate(Now) * toSeconds(Window);
  return Settings.CanaryShare * Expected + Settings.CanaryExtra;
}

double QuickRollout::canaryFraction(TimePoint Now) const {
  return std::clamp(Settings.SufficientAnswers / budget(Now),
                    Settings.CanaryFraction, Settings.MaxCanaryFraction);
}

double QuickRollout::switchFraction(TimePoint Now) const {
  return std::min(Settings.SwitchFraction,
                  Settings.MaxUsedFraction - canaryFraction(Now));
}

/// While few requests are expected, the share is capped at half of the
/// canary's fraction.
double QuickRollout::canaryShare(TimePoint Now) const {
  const double Expected = requestRate(Now) * toSeconds(Window);
  const double FromExtra =
      Settings.CanaryExtra / std::max(Settings.CanaryExtra, Expected);
  return canaryFraction(Now) * std::min(0.5, Settings.CanaryShare + FromExtra);
}

void QuickRollout::recordBatch(const RecentBatch &Batch) {
  if (Batch.Answers == 0 && Batch.Failures == 0)
    return;
  Recent.push_back(Batch);
  std::int64_t Count = 0;
  for (const RecentBatch &Known : Recent)
    Count += Known.Answers;
  while (Count - Recent.front().Answers >= Settings.RecentAnswers) {
    Count -= Recent.front().Answers;
    Recent.pop_front();
  }
}

bool QuickRollout::failsTooOften() const {
  const std::uint64_t Own = NewFailures - std::min(NewFailures, SharedFailures);
  return Own >= Settings.MaxFailures &&
         static_cast<double>(Own) >
             Settings.MaxFailureShare * static_cast<double>(NewAnswers);
}

bool QuickRollout::failedTooOftenOfLate() const {
  RecentBatch Sum;
  for (const RecentBatch &Known : Recent) {
    Sum.Answers += Known.Answers;
    Sum.Failures += Known.Failures;
  }
  return Sum.Failures > Settings.MaxFailureShare * Sum.Answers;
}

RollbackCause QuickRollout::causeToTrip() const {
  // All requests would be refused while the old version's targets are free.
  if (!Reachable && Stage == VersionStage::Switching)
    return RollbackCause::NoTarget;
  if (Comparison.tripped())
    return RollbackCause::Errors;
  if (failsTooOften())
    return RollbackCause::FailureShare;
  // The switch changes the load of all targets.
  const bool Comparable = Stage == VersionStage::Canary;
  if (Latency.tripped() ||
      (Comparable && Latency.isSlower(Certainty::RepeatedLooks)))
    return RollbackCause::Latency;
  if (Pace.isSlower(Settings.MinPacesToTrip))
    return RollbackCause::Pace;
  return RollbackCause::None;
}

/// Strong evidence stands against a step that can't be taken back, also where
/// it does not justify a rollback before its time.
RollbackCause QuickRollout::causeAgainstCompletion() const {
  if (Comparison.isSuspicious())
    return RollbackCause::Errors;
  if (failedTooOftenOfLate())
    return RollbackCause::FailureShare;
  if (Latency.isSuspicious() || Latency.isSlower(Certainty::RepeatedLooks))
    return RollbackCause::Latency;
  if (Pace.isSlower(Settings.MinPacesToSwitch))
    return RollbackCause::Pace;
  return RollbackCause::None;
}

/// A rollback before its time needs strong evidence that the version is slower.
/// A switch needs evidence that it is not: without any, it may be for want of
/// answers.
RollbackCause QuickRollout::causeAgainstSwitch() const {
  if (!Reachable)
    return RollbackCause::NoTarget;
  if (NewAnswers < Settings.MinNewAnswers ||
      Latency.compared() < Settings.MinComparedAnswers)
    return RollbackCause::TooFew;
  if (Latency.isSlower(Certainty::SingleLook))
    return RollbackCause::Latency;
  return causeAgainstCompletion();
}

void QuickRollout::rollBackFor(RollbackCause Why) {
  if (Why == RollbackCause::None || isFinal(Stage))
    return;
  Stage = VersionStage::RolledBack;
  Cause = Why;
}

VersionDecision QuickRollout::step(TimePoint Now) {
  const TimePoint End = StartedAt + Window - Settings.WriteMargin;
  const Duration SwitchTime = std::min(
      Settings.MaxSwitchTime, fromSeconds(switchFraction(Now) * budget(Now) /
                                          std::max(1.0, requestRate(Now))));
  rollBackFor(causeToTrip());
  if (Stage == VersionStage::Canary && Now >= End - SwitchTime) {
    rollBackFor(causeAgainstSwitch());
    if (!isFinal(Stage))
      Stage = VersionStage::Switching;
  }
  if (Stage == VersionStage::Switching && Now >= End) {
    rollBackFor(causeAgainstCompletion());
    if (!isFinal(Stage))
      Stage = VersionStage::Completed;
  }
  VersionDecision Order{Pool, To, Stage};
  Order.Age = Now - StartedAt;
  switch (Stage) {
  case VersionStage::Canary:
    Order.Share = canaryShare(Now);
    break;
  case VersionStage::Switching:
  case VersionStage::Completed:
    Order.Share = 1;
    break;
  case VersionStage::RolledBack:
    break;
  }
  return Order;
}

} // namespace marjorambay
