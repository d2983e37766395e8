/// The likelihood ratios of the version test and their restarting detectors.
#include "marjorambay/coordination/version_test.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

/// Rates that the old version is taken to have before any answer is seen.
constexpr std::array<double, FaultKindCount> PriorRate = {0.005, 0.25};
constexpr double PriorAnswers = 10; ///< answers that the prior counts for

/// Rates tried for the new version; each is raised above the old one's bound.
constexpr std::array<std::array<double, 4>, FaultKindCount> NewRates = {{
    {0.05, 0.15, 0.5, 0.95},
    {0.45, 0.6, 0.8, 0.97},
}};
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

void VersionTest::Window::add(double MoreBad, double MoreAll, double Size) {
  Bad += MoreBad;
  All += MoreAll;
  if (All <= Size)
    return;
  Bad *= Size / All;
  All = Size;
}

double VersionTest::Window::upperBound(double Prior, double Deviations) const {
  const double Count = All + PriorAnswers;
  const double Mean = (Bad + Prior * PriorAnswers) / Count;
  return Mean + Deviations * std::sqrt(Mean * (1 - Mean) / Count);
}

VersionTest::LogFactors VersionTest::factorsOf(const EvidenceCell &Cell) const {
  const auto Kind = static_cast<std::size_t>(Cell.Kind);
  const auto Found = OldRates.find({Cell.Where, Cell.Kind});
  const Rate Seen = Found == OldRates.end() ? Rate{} : Found->second;
  const double Bound = std::clamp(
      std::max(Seen.Long.upperBound(PriorRate[Kind], LongDeviations),
               Seen.Short.upperBound(PriorRate[Kind], ShortDeviations)),
      RateFloor, RateCeiling / LeastRatio);
  LogFactors Factors{};
  for (std::size_t Index = 0; Index < GridSize; ++Index) {
    const double NewRate = std::min(
        std::max(NewRates[Kind][Index], Bound * LeastRatio), RateCeiling);
    Factors[Index] = logRatio(Cell, NewRate, Bound);
  }
  return Factors;
}

void VersionTest::learn(const EvidenceCell &Cell) {
  Rate &Seen = OldRates[{Cell.Where, Cell.Kind}];
  Seen.Long.add(Cell.OldBad, Cell.OldAnswers, LongWindow);
  Seen.Short.add(Cell.OldBad, Cell.OldAnswers, ShortWindow);
}

void VersionTest::add(const Evidence &Batch) {
  for (const EvidenceCell &Cell : Batch)
    learn(Cell);
  std::map<DetectorKey, LogFactors> Factors;
  const auto Multiply = [&](DetectorKey Key, const LogFactors &More) {
    LogFactors &Sum = Factors[Key];
    for (std::size_t Index = 0; Index < GridSize; ++Index)
      Sum[Index] += More[Index];
  };
  for (const EvidenceCell &Cell : Batch) {
    if (Cell.NewAnswers == 0)
      continue;
    if (Cell.Kind == FaultKind::Errors)
      NewTotal += Cell.NewAnswers;
    const LogFactors More = factorsOf(Cell);
    Multiply({Cell.Kind, Group::All, 0}, More);
    Multiply({Cell.Kind, Group::Route, number(Cell.Where.Route)}, More);
    Multiply({Cell.Kind, Group::Load, Cell.Where.Load}, More);
  }
  apply(Factors);
}

void VersionTest::apply(const std::map<DetectorKey, LogFactors> &Factors) {
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

void VersionTest::judge(FaultKind Kind) {
  // The mean over groups and rates is a detector again; its bound is shared
  // between the fault kinds.
  double LogSum = -1e300;
  std::size_t Count = 0;
  for (const auto &[Key, One] : Detectors) {
    if (Key.Kind != Kind)
      continue;
    for (const double Part : One.LogSums)
      LogSum = logSumExp(LogSum, Part);
    Count += GridSize;
  }
  if (Count == 0 || Tripped)
    return;
  const double LogMean = LogSum - std::log(static_cast<double>(Count));
  if (LogMean < std::log(TripThreshold * FaultKindCount))
    return;
  Tripped = true;
  TrippedKind = Kind;
}

double VersionTest::logStrength() const {
  double Strongest = -1e300;
  for (const auto &[Key, One] : Detectors)
    for (const double Part : One.LogSums)
      Strongest = std::max(Strongest, Part);
  return Strongest;
}

} // namespace marjorambay
