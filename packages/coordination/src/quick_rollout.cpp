/// Shares and stages of a rollout that lasts seconds.
#include "marjorambay/coordination/quick_rollout.h"

#include <algorithm>

namespace marjorambay {

void QuickRollout::add(const Evidence &Cells, const LatencyCells &Latencies,
                       const PaceSamples &Paces) {
  RecentBatch Batch;
  for (const EvidenceCell &Cell : Cells) {
    if (Cell.Kind == FaultKind::Slowness) {
      NewCompared += Cell.NewAnswers;
      NewSlow += Cell.NewBad;
      continue;
    }
    Answers += Cell.OldAnswers + Cell.NewAnswers;
    NewAnswers += Cell.NewAnswers;
    NewFailures += Cell.NewBad;
    Batch.Answers += Cell.NewAnswers;
    Batch.Failures += Cell.NewBad;
  }
  recordBatch(Batch);
  Comparison.add(Cells);
  Latency.add(Latencies);
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

/// While few requests are expected, the share is capped at half of
/// CanaryFraction.
double QuickRollout::canaryShare(TimePoint Now) const {
  const double Expected = requestRate(Now) * toSeconds(Window);
  const double FromExtra =
      Settings.CanaryExtra / std::max(Settings.CanaryExtra, Expected);
  return Settings.CanaryFraction *
         std::min(0.5, Settings.CanaryShare + FromExtra);
}

bool QuickRollout::isSuspicious() const {
  return Comparison.isSuspicious() || Latency.isSuspicious() ||
         Pace.isSlower(Settings.MinPacesToSwitch);
}

void QuickRollout::recordBatch(const RecentBatch &Batch) {
  if (Batch.Answers == 0)
    return;
  Recent.push_back(Batch);
  std::uint32_t Count = 0;
  for (const RecentBatch &Known : Recent)
    Count += Known.Answers;
  while (Count - Recent.front().Answers >= Settings.RecentAnswers) {
    Count -= Recent.front().Answers;
    Recent.pop_front();
  }
}

bool QuickRollout::failsTooOften() const {
  return NewFailures >= Settings.MaxFailures &&
         static_cast<double>(NewFailures) >
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

/// A rollback before its time needs strong evidence that the version is slower.
/// A switch needs evidence that it is not: without any, it may be for want of
/// answers.
bool QuickRollout::maySwitch() const {
  return NewAnswers >= Settings.MinNewAnswers &&
         Latency.compared() >= Settings.MinComparedAnswers &&
         !Latency.isSlower() && !isSuspicious() && !failedTooOftenOfLate();
}

VersionDecision QuickRollout::step(TimePoint Now) {
  const TimePoint End = StartedAt + Window - Settings.WriteMargin;
  const Duration SwitchTime =
      std::min(Settings.MaxSwitchTime,
               fromSeconds(Settings.SwitchFraction * budget(Now) /
                           std::max(1.0, requestRate(Now))));
  if (!isFinal(Stage) &&
      (Comparison.tripped() || Latency.tripped() || failsTooOften() ||
       Pace.isSlower(Settings.MinPacesToTrip)))
    Stage = VersionStage::RolledBack;
  if (Stage == VersionStage::Canary && Now >= End - SwitchTime)
    Stage = maySwitch() ? VersionStage::Switching : VersionStage::RolledBack;
  if (Stage == VersionStage::Switching && Now >= End)
    Stage = isSuspicious() || failedTooOftenOfLate() ? VersionStage::RolledBack
                                                     : VersionStage::Completed;
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
