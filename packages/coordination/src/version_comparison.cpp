/// The likelihood ratios of the version test and their restarting detectors.
#include "marjorambay/coordination/version_comparison.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

/// Rates that the old version is taken to have before any answer is seen.
constexpr std::array<double, FaultKindCount> PriorRate = {0.005, 0.05};
constexpr double PriorAnswers = 10; ///< answers that the prior counts for

/// Rates tried for the new version; each is raised above the old one's bound.
constexpr std::array<std::array<double, 4>, FaultKindCount> NewRates = {{
    {0.05, 0.15, 0.5, 0.95},
    {0.15, 0.35, 0.65, 0.95},
}};
/// Of the verdict, for the group of all answers; routes and loads share the
/// rest, as most faults are faults of the version as a whole.
constexpr double WholeWeight = 0.5;
constexpr double LeastRatio = 1.5; ///< new rate over old bound worth a trip
constexpr double RateFloor = 0.001;
constexpr double RateCeiling = 0.98;

/// The long window gives a tight bound, the short one follows a change.
constexpr double LongWindow = 500;
constexpr double LongDeviations = 2;
constexpr double ShortWindow = 30;
constexpr double ShortDeviations = 1;

double logSumExp(double Left, double Right) {
  const double Top = std::max(Left, Right);
  return Top + std::log(std::exp(Left - Top) + std::exp(Right - Top));
}

/// Log likelihood ratio of the cell's new answers between two rates.
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
                                const StratumKey &Where) {
  switch (Key.Over) {
  case Group::All:
    return true;
  case Group::Route:
    return Key.Which == number(Where.Route);
  case Group::Load:
    return Key.Which == Where.Load;
  }
  return false;
}

/// The rates of the strata of a group are estimated apart, so that their errors
/// partly cancel out in its sum. With the new answers as weights, the sum is as
/// sure as one rate from this many old answers.
VersionComparison::Support
VersionComparison::supportOf(const DetectorKey &Key) const {
  double New = 0;
  Support Variance;
  for (const auto &[Where, Seen] : OldRates) {
    if (Where.second != Key.Kind || !inGroup(Key, Where.first))
      continue;
    const double Weight = Seen.NewAnswers;
    New += Weight;
    Variance.Long += Weight * Weight / (Seen.Long.All + PriorAnswers);
    Variance.Short += Weight * Weight / (Seen.Short.All + PriorAnswers);
  }
  return {New * New / Variance.Long, New * New / Variance.Short};
}

VersionComparison::LogFactors
VersionComparison::factorsOf(const EvidenceCell &Cell,
                             const Support &Old) const {
  const auto Kind = static_cast<std::size_t>(Cell.Kind);
  const auto Found = OldRates.find({Cell.Stratum, Cell.Kind});
  const Rate Seen = Found == OldRates.end() ? Rate{} : Found->second;
  const double Bound = std::clamp(
      std::max(
          Seen.Long.upperBound(PriorRate[Kind], LongDeviations, Old.Long),
          Seen.Short.upperBound(PriorRate[Kind], ShortDeviations, Old.Short)),
      RateFloor, RateCeiling / LeastRatio);
  LogFactors Factors{};
  for (std::size_t Index = 0; Index < GridSize; ++Index) {
    const double NewRate = std::min(
        std::max(NewRates[Kind][Index], Bound * LeastRatio), RateCeiling);
    Factors[Index] = logRatio(Cell, NewRate, Bound);
  }
  return Factors;
}

void VersionComparison::learn(const EvidenceCell &Cell) {
  Rate &Seen = OldRates[{Cell.Stratum, Cell.Kind}];
  Seen.Long.add(Cell.OldBad, Cell.OldAnswers, LongWindow);
  Seen.Short.add(Cell.OldBad, Cell.OldAnswers, ShortWindow);
  Seen.NewAnswers += Cell.NewAnswers;
}

void VersionComparison::add(const Evidence &Batch) {
  for (const EvidenceCell &Cell : Batch)
    learn(Cell);
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
    Detector &One = Detectors[Key];
    for (std::size_t Index = 0; Index < GridSize; ++Index) {
      // Shiryaev-Roberts: S = (S + 1) * E, in logarithms.
      const double Before = One.Started ? logSumExp(One.LogSums[Index], 0) : 0;
      One.LogSums[Index] = Before + More[Index];
    }
    One.Started = true;
  }
  for (std::size_t Kind = 0; Kind < FaultKindCount; ++Kind)
    judge(static_cast<FaultKind>(Kind));
}

void VersionComparison::judge(FaultKind Kind) {
  // A weighted mean over groups and rates is a detector again; its bound is
  // shared between the fault kinds.
  std::size_t Parts = 0;
  for (const auto &[Key, One] : Detectors)
    Parts += Key.Kind == Kind && Key.Over != Group::All ? 1 : 0;
  if (Parts == 0 || Tripped)
    return;
  double LogMean = -1e300;
  for (const auto &[Key, One] : Detectors) {
    if (Key.Kind != Kind)
      continue;
    const bool Whole = Key.Over == Group::All;
    const double Weight =
        Whole ? WholeWeight : (1 - WholeWeight) / static_cast<double>(Parts);
    for (const double Sum : One.LogSums)
      LogMean = logSumExp(LogMean, Sum + std::log(Weight / GridSize));
  }
  LogMeans[static_cast<std::size_t>(Kind)] = LogMean;
  if (LogMean < std::log(TripThreshold * FaultKindCount))
    return;
  Tripped = true;
  TrippedKind = Kind;
}

bool VersionComparison::suspects() const {
  constexpr double Factor = 50;
  return *std::max_element(LogMeans.begin(), LogMeans.end()) >=
         std::log(TripThreshold * FaultKindCount / Factor);
}

double VersionComparison::logStrength() const {
  double Strongest = -1e300;
  for (const auto &[Key, One] : Detectors)
    for (const double Part : One.LogSums)
      Strongest = std::max(Strongest, Part);
  return Strongest;
}

} // namespace marjorambay
