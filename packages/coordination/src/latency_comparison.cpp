/// Ranks of a new version's latencies among those of the old one.
#include "marjorambay/coordination/latency_comparison.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

constexpr double FirstBinSeconds = 50e-6;
constexpr double BinsPerOctave = 6;
/// A new answer counts with a latency lower by this much, a factor of 1.26.
constexpr std::uint8_t ToleranceBins = 2;

/// Older answers decay, so that a slowdown of both versions is not attributed
/// to the new one.
constexpr double HistogramSize = 400;
/// A route with fewer old answers is compared with all routes together.
constexpr double MinRouteAnswers = 20;
constexpr double MinAllAnswers = 8;

/// Exponents of the densities. A higher one would let a single second of
/// silence of one target trip the version.
constexpr std::array<double, 2> Exponents = {2, 4};
constexpr double AllRoutesWeight = 0.5;
constexpr double LatencyTripThreshold = 1e5;

constexpr std::size_t RecentAnswers = 24;
/// Returns the latency in the middle of a bin.
double secondsOfBin(std::uint8_t Bin) {
  return FirstBinSeconds * std::exp2((Bin + 0.5) / BinsPerOctave);
}

double logSumExp(double Left, double Right) {
  const double Top = std::max(Left, Right);
  return Top + std::log(std::exp(Left - Top) + std::exp(Right - Top));
}

} // namespace

std::uint8_t latencyBin(double Seconds) {
  const double Octaves =
      std::log2(std::max(Seconds, FirstBinSeconds) / FirstBinSeconds);
  return static_cast<std::uint8_t>(
      std::min(Octaves * BinsPerOctave, LatencyBinCount - 1.0));
}

void LatencyComparison::Histogram::add(std::uint8_t Bin, double Count) {
  Counts[Bin] += Count;
  Total += Count;
  if (Total <= HistogramSize)
    return;
  for (double &Entry : Counts)
    Entry *= HistogramSize / Total;
  Total = HistogramSize;
}

double LatencyComparison::Histogram::rank(std::uint8_t Bin) const {
  double Faster = Counts[Bin] / 2;
  for (std::uint8_t Below = 0; Below < Bin; ++Below)
    Faster += Counts[Below];
  return (Faster + 0.5) / (Total + 1);
}

std::optional<double> LatencyComparison::rankOf(const LatencyCell &Cell,
                                                std::uint8_t Tolerance) const {
  const auto Bin =
      static_cast<std::uint8_t>(std::max<int>(0, Cell.Bin - Tolerance));
  const auto SameRoute = Old.find({Cell.Kind, Cell.Route});
  if (SameRoute != Old.end() && SameRoute->second.Total >= MinRouteAnswers)
    return SameRoute->second.rank(Bin);
  const auto All = Old.find({Cell.Kind, std::nullopt});
  if (All != Old.end() && All->second.Total >= MinAllAnswers)
    return All->second.rank(Bin);
  return std::nullopt;
}

void LatencyComparison::add(const LatencyCells &Batch, TimePoint Now) {
  for (const LatencyCell &Cell : Batch) {
    if (Cell.Bin >= LatencyBinCount || Cell.OldAnswers == 0)
      continue;
    Old[{Cell.Kind, Cell.Route}].add(Cell.Bin, Cell.OldAnswers);
    Old[{Cell.Kind, std::nullopt}].add(Cell.Bin, Cell.OldAnswers);
  }
  score(Batch, Now);
  std::map<Scope, LogSums> Factors;
  for (const LatencyCell &Cell : Batch)
    if (Cell.Bin < LatencyBinCount && Cell.NewAnswers > 0)
      observe(Cell, Factors);
  if (!Factors.empty())
    apply(Factors);
}

void LatencyComparison::score(const LatencyCells &Batch, TimePoint Now) {
  for (const LatencyCell &Cell : Batch) {
    if (Cell.Bin >= LatencyBinCount)
      continue;
    const std::optional<double> Rank = rankOf(Cell, 0);
    if (!Rank)
      continue;
    LatencyScores &Into = Scores[static_cast<std::size_t>(Cell.Kind)];
    if (Cell.OldAnswers > 0)
      Into.addOld(Cell.Target, *Rank, Cell.OldAnswers);
    if (Cell.NewAnswers > 0)
      Into.addNew(Cell.Target, Cell.Route, *Rank, Cell.NewAnswers,
                  fromSeconds(secondsOfBin(Cell.Bin)), Now);
  }
  for (std::size_t Kind = 0; Kind < LatencyKindCount; ++Kind)
    Scores[Kind].rankAgain([&](RouteId Route, Duration Elapsed) {
      LatencyCell Cell{Route, static_cast<LatencyKind>(Kind)};
      Cell.Bin = latencyBin(toSeconds(Elapsed));
      return rankOf(Cell, 0).value_or(0.5);
    });
}

void LatencyComparison::observe(const LatencyCell &Cell,
                                std::map<Scope, LogSums> &Factors) {
  const std::optional<double> Rank = rankOf(Cell, ToleranceBins);
  if (!Rank)
    return;
  if (Cell.Kind == LatencyKind::FirstEvent)
    ComparedAnswers += Cell.NewAnswers;
  for (const Scope &Where :
       {Scope{Cell.Kind, std::nullopt}, Scope{Cell.Kind, Cell.Route}}) {
    LogSums &Sums = Factors[Where];
    for (std::size_t Index = 0; Index < GridSize; ++Index)
      Sums[Index] +=
          Cell.NewAnswers * (std::log(Exponents[Index]) +
                             (Exponents[Index] - 1) * std::log(*Rank));
    std::deque<double> &Recent = RecentRanks[Where];
    const std::size_t Count =
        std::min<std::size_t>(Cell.NewAnswers, RecentAnswers);
    Recent.insert(Recent.end(), Count, *Rank);
    while (Recent.size() > RecentAnswers)
      Recent.pop_front();
  }
}

void LatencyComparison::apply(const std::map<Scope, LogSums> &Factors) {
  for (const auto &[Where, More] : Factors) {
    const auto [Entry, IsFirst] = Detectors.try_emplace(Where);
    for (std::size_t Index = 0; Index < GridSize; ++Index) {
      double &Sum = Entry->second[Index];
      // Shiryaev-Roberts: S = (S + 1) * E, in logarithms.
      Sum = (IsFirst ? 0 : logSumExp(Sum, 0)) + More[Index];
    }
  }
  evaluate();
}

void LatencyComparison::evaluate() {
  std::array<double, LatencyKindCount> Routes{};
  for (const auto &[Where, Sums] : Detectors)
    Routes[static_cast<std::size_t>(Where.first)] += Where.second ? 1 : 0;
  double LogMean = -1e300;
  for (const auto &[Where, Sums] : Detectors) {
    const double Weight =
        Where.second ? (1 - AllRoutesWeight) /
                           Routes[static_cast<std::size_t>(Where.first)]
                     : AllRoutesWeight;
    for (const double Sum : Sums)
      LogMean = logSumExp(
          LogMean, Sum + std::log(Weight / (GridSize * LatencyKindCount)));
  }
  LogStatistic = LogMean;
  Tripped = Tripped || LogStatistic >= std::log(LatencyTripThreshold);
}

bool LatencyComparison::isSlower(Certainty How) const {
  return std::any_of(
      Scores.begin(), Scores.end(),
      [How](const LatencyScores &Each) { return Each.isSlower(How); });
}

bool LatencyComparison::isSuspicious() const {
  constexpr double Factor = 50;
  return LogStatistic >= std::log(LatencyTripThreshold / Factor);
}

double LatencyComparison::meanRank(LatencyKind Kind) const {
  const auto Found = RecentRanks.find({Kind, std::nullopt});
  if (Found == RecentRanks.end())
    return 0;
  double Sum = 0;
  for (const double Rank : Found->second)
    Sum += Rank;
  return Sum / static_cast<double>(Found->second.size());
}

} // namespace marjorambay
