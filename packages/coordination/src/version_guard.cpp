/// VersionGuard: evidence, local trips, and the allowed share.
#include "marjorambay/coordination/version_guard.h"

#include <algorithm>
#include <utility>

namespace marjorambay {

namespace {

/// Maximum number of latency samples per stratum. With fewer than
/// MinReferenceSamples no limit is set.
constexpr std::size_t MaxReferenceSamples = 256;
constexpr std::size_t MinReferenceSamples = 20;
constexpr double ReferenceQuantile = 0.95;
/// Limits are recomputed after this many answers of a stratum.
constexpr std::size_t RefreshAnswers = 16;

/// Paces in one report; bounds its size.
constexpr std::size_t MaxPendingPaces = 64;

/// An answer of the new version counts as slow above the old version's upper
/// quantile times this factor.
constexpr double SlowTolerance = 1.2;

void addSample(std::vector<float> &Times, std::size_t &Next, double Value) {
  if (Value <= 0)
    return;
  if (Times.size() < MaxReferenceSamples) {
    Times.push_back(static_cast<float>(Value));
    return;
  }
  Times[Next] = static_cast<float>(Value);
  Next = (Next + 1) % MaxReferenceSamples;
}

double upperTail(std::vector<float> Times) {
  if (Times.size() < MinReferenceSamples)
    return 0;
  const auto At = static_cast<std::ptrdiff_t>(
      ReferenceQuantile * static_cast<double>(Times.size() - 1));
  std::nth_element(Times.begin(), Times.begin() + At, Times.end());
  return Times[static_cast<std::size_t>(At)];
}

bool exceeds(double Value, double Limit, double Tolerance) {
  return Value > 0 && Limit > 0 && Value > Limit * Tolerance;
}

Evidence cellsOf(
    const std::map<std::pair<StratumKey, FaultKind>, EvidenceCell> &Counts) {
  Evidence Cells;
  Cells.reserve(Counts.size());
  for (const auto &[Key, Cell] : Counts)
    Cells.push_back(Cell);
  return Cells;
}

void addCounts(EvidenceCell &Sum, const EvidenceCell &More) {
  Sum.Stratum = More.Stratum;
  Sum.Kind = More.Kind;
  Sum.OldAnswers += More.OldAnswers;
  Sum.OldBad += More.OldBad;
  Sum.NewAnswers += More.NewAnswers;
  Sum.NewBad += More.NewBad;
  Sum.SharedBad += More.SharedBad;
}

} // namespace

GuardActions VersionGuard::step(const GuardEvent &Event) {
  if (const auto *Answer = std::get_if<AnswerObserved>(&Event)) {
    observe(*Answer);
    return {};
  }
  if (const auto *Failure = std::get_if<FailureShared>(&Event)) {
    observe(*Failure);
    return {};
  }
  if (const auto *Latency = std::get_if<LatencyObserved>(&Event)) {
    observe(*Latency);
    return {};
  }
  if (const auto *Pace = std::get_if<PaceObserved>(&Event)) {
    observe(*Pace);
    return {};
  }
  if (const auto *Updated = std::get_if<ViewUpdated>(&Event)) {
    updateView(Updated->View);
    return {};
  }
  if (const auto *Trip = std::get_if<TripReported>(&Event)) {
    if (!Current || Trip->Rollout != Current->Id || Tripped)
      return {};
    Tripped = true;
    TripPublished = true;
    return setShare(0);
  }
  return tick(std::get<GuardTicked>(Event).WallClock);
}

void VersionGuard::updateView(const RolloutView &View) {
  const bool IsNewer = !Current || View.ObjectVersion > Current->ObjectVersion;
  if (!IsNewer)
    return;
  const bool IsOtherRollout = !Current || Current->Id != View.Id;
  LeaderChanged =
      !IsOtherRollout && (LeaderChanged || (number(Current->Leader) != 0 &&
                                            Current->Leader != View.Leader));
  Current = View;
  if (!IsOtherRollout)
    return;
  Comparison = VersionComparison{};
  PendingCounts.clear();
  ReportedCounts.clear();
  PendingLatencies.clear();
  PendingPaces.clear();
  CountedUntil.clear();
  Tripped = false;
  TripPublished = false;
}

void VersionGuard::observe(const AnswerObserved &Answer) {
  const bool IsNew = Current && Answer.Version == Current->To;
  const bool IsOld = !Current || Answer.Version == Current->From;
  if (!IsNew && !IsOld)
    return;
  if (Current && !isFinal(Current->Phase)) {
    count(Answer.Stratum, FaultKind::Errors, IsNew, Answer.Failed);
    const auto Found = References.find(Answer.Stratum);
    const bool Comparable =
        Found != References.end() && Found->second.TokenLimit > 0;
    if (!Answer.Failed && Comparable)
      count(Answer.Stratum, FaultKind::Slowness, IsNew, isSlow(Answer, IsNew));
  }
  if (IsOld && !Answer.Failed)
    recordReference(Answer);
}

void VersionGuard::observe(const FailureShared &Failure) {
  if (!Current || isFinal(Current->Phase))
    return;
  EvidenceCell &Cell = PendingCounts[{Failure.Stratum, FaultKind::Errors}];
  Cell.Stratum = Failure.Stratum;
  Cell.Kind = FaultKind::Errors;
  ++Cell.SharedBad;
}

void VersionGuard::observe(const LatencyObserved &Latency) {
  if (!Current || isFinal(Current->Phase))
    return;
  const bool IsNew = Latency.Version == Current->To;
  if (!IsNew && Latency.Version != Current->From)
    return;
  if (IsNew) {
    // Requests that wait for one target at the same time share the cause: a
    // short silence of it counts once.
    TimePoint &Until = CountedUntil[{Latency.Target, Latency.Kind}];
    if (Latency.StartedAt < Until)
      return;
    Until = Latency.StartedAt + Latency.Elapsed;
  }
  const std::uint8_t Bin = latencyBin(toSeconds(Latency.Elapsed));
  LatencyCell &Cell =
      PendingLatencies[{Latency.Route, Latency.Kind, Bin, Latency.Target}];
  Cell.Target = Latency.Target;
  Cell.Route = Latency.Route;
  Cell.Kind = Latency.Kind;
  Cell.Bin = Bin;
  ++(IsNew ? Cell.NewAnswers : Cell.OldAnswers);
}

void VersionGuard::observe(const PaceObserved &Observed) {
  if (!Current || isFinal(Current->Phase) ||
      PendingPaces.size() >= MaxPendingPaces)
    return;
  const bool IsNew = Observed.Version == Current->To;
  if (IsNew || Observed.Version == Current->From)
    PendingPaces.push_back({Observed.Target, IsNew, Observed.Pace});
}

bool VersionGuard::isSlow(const AnswerObserved &Answer, bool IsNew) const {
  const Reference &Baseline = References.at(Answer.Stratum);
  const double Tolerance = IsNew ? SlowTolerance : 1.0;
  return exceeds(Answer.SecondsPerToken, Baseline.TokenLimit, Tolerance) ||
         exceeds(Answer.FirstTokenSeconds, Baseline.FirstTokenLimit, Tolerance);
}

void VersionGuard::count(const StratumKey &Stratum, FaultKind Kind, bool IsNew,
                         bool Bad) {
  EvidenceCell &Cell = PendingCounts[{Stratum, Kind}];
  Cell.Stratum = Stratum;
  Cell.Kind = Kind;
  ++(IsNew ? Cell.NewAnswers : Cell.OldAnswers);
  (IsNew ? Cell.NewBad : Cell.OldBad) += Bad ? 1 : 0;
}

void VersionGuard::recordReference(const AnswerObserved &Answer) {
  Reference &Baseline = References[Answer.Stratum];
  ++Baseline.NewSamples;
  addSample(Baseline.SecondsPerToken, Baseline.NextToken,
            Answer.SecondsPerToken);
  addSample(Baseline.FirstTokenSeconds, Baseline.NextFirstToken,
            Answer.FirstTokenSeconds);
}

void VersionGuard::refreshLimits() {
  for (auto &[Stratum, Baseline] : References) {
    if (Baseline.NewSamples < RefreshAnswers)
      continue;
    Baseline.NewSamples = 0;
    Baseline.TokenLimit = upperTail(Baseline.SecondsPerToken);
    Baseline.FirstTokenLimit = upperTail(Baseline.FirstTokenSeconds);
  }
}

GuardActions VersionGuard::tick(WallTime WallClock) {
  if (!Current)
    return {};
  Evidence Cells = cellsOf(PendingCounts);
  for (const EvidenceCell &Cell : Cells)
    addCounts(ReportedCounts[{Cell.Stratum, Cell.Kind}], Cell);
  PendingCounts.clear();
  refreshLimits();
  Comparison.add(Cells);
  if (LeaderChanged)
    Cells = cellsOf(ReportedCounts);
  LeaderChanged = false;
  GuardActions Actions;
  Tripped = Tripped || (!isFinal(Current->Phase) && Comparison.tripped());
  if (Tripped && !TripPublished)
    Actions.push_back(
        TripDetected{Current->Id, Current->To, Comparison.trippedBy()});
  TripPublished = Tripped;
  LatencyCells Latencies;
  for (const auto &[Key, Cell] : PendingLatencies)
    Latencies.push_back(Cell);
  PendingLatencies.clear();
  if (!Cells.empty() || !Latencies.empty() || !PendingPaces.empty())
    Actions.push_back(EvidenceReady{Current->Id, std::move(Cells),
                                    std::move(Latencies),
                                    std::exchange(PendingPaces, {})});

  // After the deadline the version gets no requests unless its completion was
  // reported.
  const bool Completed = Current->Phase == RolloutPhase::Completed;
  const bool Blocked = Tripped || Current->Phase == RolloutPhase::RolledBack ||
                       (!Completed && WallClock >= Current->Deadline);
  const GuardActions Shares = setShare(Completed ? 1
                                       : Blocked ? 0
                                                 : Current->Share);
  Actions.insert(Actions.end(), Shares.begin(), Shares.end());
  return Actions;
}

GuardActions VersionGuard::setShare(double Share) {
  if (Share == AllowedShare)
    return {};
  AllowedShare = Share;
  return {ShareChanged{Current->To, Share}};
}

} // namespace marjorambay
