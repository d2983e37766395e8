/// Evidence, the local trip, and the share that it leaves.
#include "marjorambay/coordination/version_guard.h"

#include <algorithm>

namespace marjorambay {

namespace {

/// Times kept of each stratum; the upper tail of fewer is not used.
constexpr std::size_t ReferenceSize = 256;
constexpr std::size_t ReferenceLeast = 20;
constexpr double ReferenceQuantile = 0.95;
/// Limits are worked out anew after this many answers of a stratum.
constexpr std::size_t RefreshAnswers = 16;

/// A new version may be this much slower than the old one's upper tail
/// before an answer counts as slow.
constexpr double SlowTolerance = 1.2;

void keepRecent(std::vector<float> &Times, std::size_t &Next, double Value) {
  if (Value <= 0)
    return;
  if (Times.size() < ReferenceSize) {
    Times.push_back(static_cast<float>(Value));
    return;
  }
  Times[Next] = static_cast<float>(Value);
  Next = (Next + 1) % ReferenceSize;
}

double upperTail(std::vector<float> Times) {
  if (Times.size() < ReferenceLeast)
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
}

} // namespace

GuardActions VersionGuard::step(const GuardEvent &Event) {
  if (const auto *Seen = std::get_if<AnswerObserved>(&Event)) {
    observe(*Seen);
    return {};
  }
  if (const auto *Learned = std::get_if<ViewUpdated>(&Event)) {
    learnView(Learned->View);
    return {};
  }
  if (const auto *Trip = std::get_if<TripReported>(&Event)) {
    if (!Current || Trip->Rollout != Current->Id || Tripped)
      return {};
    Tripped = true;
    TripTold = true;
    return allow(0);
  }
  return tick(std::get<GuardTicked>(Event).Wall);
}

void VersionGuard::learnView(const RolloutView &View) {
  const bool IsNews = !Current || View.ObjectVersion > Current->ObjectVersion;
  if (!IsNews)
    return;
  const bool IsOtherRollout = !Current || Current->Id != View.Id;
  LeaderIsNew =
      !IsOtherRollout && (LeaderIsNew || (number(Current->Leader) != 0 &&
                                          Current->Leader != View.Leader));
  Current = View;
  if (!IsOtherRollout)
    return;
  Test = VersionComparison{};
  Batch.clear();
  Reported.clear();
  Tripped = false;
  TripTold = false;
}

void VersionGuard::observe(const AnswerObserved &Seen) {
  const bool IsNew = Current && Seen.Version == Current->To;
  const bool IsOld = !Current || Seen.Version == Current->From;
  if (!IsNew && !IsOld)
    return;
  if (Current && !isFinal(Current->Phase)) {
    count(Seen.Stratum, FaultKind::Errors, IsNew, Seen.Failed);
    const auto Found = References.find(Seen.Stratum);
    const bool Comparable =
        Found != References.end() && Found->second.TokenLimit > 0;
    if (!Seen.Failed && Comparable)
      count(Seen.Stratum, FaultKind::Slowness, IsNew, isSlow(Seen, IsNew));
  }
  if (IsOld && !Seen.Failed)
    remember(Seen);
}

bool VersionGuard::isSlow(const AnswerObserved &Seen, bool IsNew) const {
  const Reference &Old = References.at(Seen.Stratum);
  const double Tolerance = IsNew ? SlowTolerance : 1.0;
  return exceeds(Seen.SecondsPerToken, Old.TokenLimit, Tolerance) ||
         exceeds(Seen.FirstTokenSeconds, Old.FirstLimit, Tolerance);
}

void VersionGuard::count(const StratumKey &Where, FaultKind Kind, bool IsNew,
                         bool Bad) {
  EvidenceCell &Cell = Batch[{Where, Kind}];
  Cell.Stratum = Where;
  Cell.Kind = Kind;
  ++(IsNew ? Cell.NewAnswers : Cell.OldAnswers);
  (IsNew ? Cell.NewBad : Cell.OldBad) += Bad ? 1 : 0;
}

void VersionGuard::remember(const AnswerObserved &Seen) {
  Reference &Old = References[Seen.Stratum];
  ++Old.Fresh;
  keepRecent(Old.TokenSeconds, Old.NextToken, Seen.SecondsPerToken);
  keepRecent(Old.FirstSeconds, Old.NextFirst, Seen.FirstTokenSeconds);
}

void VersionGuard::refreshLimits() {
  for (auto &[Where, Old] : References) {
    if (Old.Fresh < RefreshAnswers)
      continue;
    Old.Fresh = 0;
    Old.TokenLimit = upperTail(Old.TokenSeconds);
    Old.FirstLimit = upperTail(Old.FirstSeconds);
  }
}

GuardActions VersionGuard::tick(WallTime Wall) {
  if (!Current)
    return {};
  Evidence Cells = cellsOf(Batch);
  for (const EvidenceCell &Cell : Cells)
    addCounts(Reported[{Cell.Stratum, Cell.Kind}], Cell);
  Batch.clear();
  refreshLimits();
  Test.add(Cells);
  if (LeaderIsNew)
    Cells = cellsOf(Reported);
  LeaderIsNew = false;
  GuardActions Actions;
  Tripped = Tripped || (!isFinal(Current->Phase) && Test.tripped());
  if (Tripped && !TripTold)
    Actions.push_back(TripDetected{Current->Id, Current->To, Test.trippedBy()});
  TripTold = Tripped;
  if (!Cells.empty())
    Actions.push_back(EvidenceReady{Current->Id, std::move(Cells)});

  // Without news of completion the version stays out once its time is over.
  const bool Completed = Current->Phase == RolloutPhase::Completed;
  const bool Out = Tripped || Current->Phase == RolloutPhase::RolledBack ||
                   (!Completed && Wall >= Current->Deadline);
  const GuardActions Shares = allow(Completed ? 1 : Out ? 0 : Current->Share);
  Actions.insert(Actions.end(), Shares.begin(), Shares.end());
  return Actions;
}

GuardActions VersionGuard::allow(double Share) {
  if (Share == Allowed)
    return {};
  Allowed = Share;
  return {ShareChanged{Current->To, Share}};
}

} // namespace marjorambay
