/// Likelihood ratios and restarting detectors of the version comparison.
#include "marjorambay/coordination/version_comparison.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

/// Prior rates of bad answers of the old version, by fault kind.
constexpr std::array<double, FaultKindCount> PriorRate = {0.005, 0.05};
constexpr double PriorAnswers = 10; ///< weight of the prior, in answers

/// Assumed rates of the new version, by fault kind. Each is raised above the
/// bound of the old version's rate.
constexpr std::array<std::array<double, 4>, FaultKindCount> NewRates = {{
    {0.05, 0.15, 0.5, 0.95},
    {0.15, 0.35, 0.65, 0.95},
}};
/// Weight of the detector over all answers. Routes and loads share the rest,
/// since most faults affect the version as a whole.
constexpr double AllAnswersWeight = 0.5;
/// Least ratio of the new rate to the old bound that is worth a trip.
constexpr double MinRateRatio = 1.5;
constexpr double RateFloor = 0.001;
constexpr double RateCeiling = 0.98;

/// The long window gives a tight bound; the short one follows changes.
constexpr double LongWindow = 500;
constexpr double LongDeviations = 2;
constexpr double ShortWindow = 30;
constexpr double ShortDeviations = 1;

double logSumExp(double Left, double Right) {
  const double Top = std::max(Left, Right);
  return Top + std::log(std::exp(Left - Top) + std::exp(Right - Top));
}

/// Returns the log likelihood ratio of the cell's new answers, between the two
/// rates.
double logRatio(const EvidenceCell &Cell, double NewRate, double OldBound) {
  const double Bad = Cell.NewBad;
  const double Good = Cell.NewAnswers - Bad;
  return Bad * std::log(NewRate / OldBound) +
         Good * std::log((1 - NewRate) / (1 - OldBound));
}

} // namespace

void VersionComparison::Window::add(double MoreBad, double MoreAll,
                                    double Size) {
  Bad += MoreBad;
  All += MoreAll;
  if (All <= Size)
    return;
  Bad *= Size / All;
  All = Size;
}

double VersionComparison::Window::upperBound(double Prior, double Deviations,
                                             double Answers) const {
  const double Mean = (Bad + Prior * PriorAnswers) / (All + PriorAnswers);
  return Mean + Deviations * std::sqrt(Mean * (1 - Mean) / Answers);
}

bool VersionComparison::inGroup(const DetectorKey &Key,
                                const StratumKey &Stratum) {
  switch (Key.Scope) {
  case Group::All:
    return true;
  case Group::Route:
    return Key.GroupId == number(Stratum.Route);
  case Group::Load:
    return Key.GroupId == Stratum.Load;
  }
  return false;
}

/// The rates of the strata of a group are estimated separately, so that their
/// errors partly cancel out in the group's sum. With the new answers as
/// weights, the sum is as precise as a single rate estimated from this many old
/// answers.
VersionComparison::Support
VersionComparison::supportOf(const DetectorKey &Key) const {
  double New = 0;
  Support Variance;
  for (const auto &[CellKey, OldRate] : OldRates) {
    if (CellKey.second != Key.Kind || !inGroup(Key, CellKey.first))
      continue;
    const double Weight = OldRate.NewAnswers;
    New += Weight;
    Variance.Long += Weight * Weight / (OldRate.Long.All + PriorAnswers);
    Variance.Short += Weight * Weight / (OldRate.Short.All + PriorAnswers);
  }
  return {New * New / Variance.Long, New * New / Variance.Short};
}

VersionComparison::LogFactors
VersionComparison::factorsOf(const EvidenceCell &Cell,
                             const Support &Old) const {
  const auto Kind = static_cast<std::size_t>(Cell.Kind);
  const auto Found = OldRates.find({Cell.Stratum, Cell.Kind});
  const Rate OldRate = Found == OldRates.end() ? Rate{} : Found->second;
  const double Bound =
      std::clamp(std::max(OldRate.Long.upperBound(PriorRate[Kind],
                                                  LongDeviations, Old.Long),
                          OldRate.Short.upperBound(PriorRate[Kind],
                                                   ShortDeviations, Old.Short)),
                 RateFloor, RateCeiling / MinRateRatio);
  LogFactors Factors{};
  for (std::size_t Index = 0; Index < GridSize; ++Index) {
    const double NewRate = std::min(
        std::max(NewRates[Kind][Index], Bound * MinRateRatio), RateCeiling);
    Factors[Index] = logRatio(Cell, NewRate, Bound);
  }
  return Factors;
}

void VersionComparison::updateOldRates(const EvidenceCell &Cell) {
  Rate &OldRate = OldRates[{Cell.Stratum, Cell.Kind}];
  OldRate.Long.add(Cell.OldBad, Cell.OldAnswers, LongWindow);
  OldRate.Short.add(Cell.OldBad, Cell.OldAnswers, ShortWindow);
  OldRate.NewAnswers += Cell.NewAnswers;
}

void VersionComparison::add(const Evidence &Batch) {
  for (const EvidenceCell &Cell : Batch)
    updateOldRates(Cell);
  std::map<DetectorKey, LogFactors> Factors;
  std::map<DetectorKey, Support> Supports;
  const auto Multiply = [&](DetectorKey Key, const EvidenceCell &Cell) {
    const auto [Old, IsFirst] = Supports.try_emplace(Key);
    if (IsFirst)
      Old->second = supportOf(Key);
    const LogFactors More = factorsOf(Cell, Old->second);
    LogFactors &Sum = Factors[Key];
    for (std::size_t Index = 0; Index < GridSize; ++Index)
      Sum[Index] += More[Index];
  };
  for (const EvidenceCell &Cell : Batch) {
    if (Cell.NewAnswers == 0)
      continue;
    if (Cell.Kind == FaultKind::Errors)
      NewTotal += Cell.NewAnswers;
    Multiply({Cell.Kind, Group::All, 0}, Cell);
    Multiply({Cell.Kind, Group::Route, number(Cell.Stratum.Route)}, Cell);
    Multiply({Cell.Kind, Group::Load, Cell.Stratum.Load}, Cell);
  }
  apply(Factors);
}

void VersionComparison::apply(
    const std::map<DetectorKey, LogFactors> &Factors) {
  for (const auto &[Key, More] : Factors) {
    Detector &Entry = Detectors[Key];
    for (std::size_t Index = 0; Index < GridSize; ++Index) {
      // Shiryaev-Roberts: S = (S + 1) * E, in logarithms.
      const double Before =
          Entry.Started ? logSumExp(Entry.LogSums[Index], 0) : 0;
      Entry.LogSums[Index] = Before + More[Index];
    }
    Entry.Started = true;
  }
  for (std::size_t Kind = 0; Kind < FaultKindCount; ++Kind)
    evaluate(static_cast<FaultKind>(Kind));
}

void VersionComparison::evaluate(FaultKind Kind) {
  // A weighted mean of detectors over groups and rates is a detector as well.
  // The false alarm bound is shared between the fault kinds.
  std::size_t GroupCount = 0;
  for (const auto &[Key, Entry] : Detectors)
    GroupCount += Key.Kind == Kind && Key.Scope != Group::All ? 1 : 0;
  if (GroupCount == 0 || Tripped)
    return;
  double LogMean = -1e300;
  for (const auto &[Key, Entry] : Detectors) {
    if (Key.Kind != Kind)
      continue;
    const bool CoversAll = Key.Scope == Group::All;
    const double Weight =
        CoversAll ? AllAnswersWeight
                  : (1 - AllAnswersWeight) / static_cast<double>(GroupCount);
    for (const double Sum : Entry.LogSums)
      LogMean = logSumExp(LogMean, Sum + std::log(Weight / GridSize));
  }
  LogStatistics[static_cast<std::size_t>(Kind)] = LogMean;
  if (LogMean < std::log(TripThreshold * FaultKindCount))
    return;
  Tripped = true;
  TrippedKind = Kind;
}

bool VersionComparison::isSuspicious() const {
  constexpr double Factor = 50;
  return *std::max_element(LogStatistics.begin(), LogStatistics.end()) >=
         std::log(TripThreshold * FaultKindCount / Factor);
}

double VersionComparison::logStrength() const {
  double Strongest = -1e300;
  for (const auto &[Key, Entry] : Detectors)
    for (const double LogSum : Entry.LogSums)
      Strongest = std::max(Strongest, LogSum);
  return Strongest;
}

} // namespace marjorambay
