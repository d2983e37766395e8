/// Scores of answers by their rank, and how much targets differ.
#include "marjorambay/coordination/latency_scores.h"

#include <algorithm>
#include <cmath>

namespace marjorambay {

namespace {

/// Answers of a target of the old version that count; older ones decay.
constexpr double MaxOldAnswers = 200;
/// Answers of the new version that count.
constexpr std::size_t MaxNewAnswers = 512;
constexpr std::size_t MinNewAnswers = 12;
constexpr double MinRouteAnswers = 8;

/// Share of the old version's answers that are late.
constexpr double LateShare = 0.1;
/// Late answers of a target that were in progress together share their cause
/// if they arrive within this time.
constexpr Duration MaxSharedCauseTime = milliseconds(500);
/// Time within which hosts report answers that ended together.
constexpr Duration ReportTime = milliseconds(250);

/// Assumed variance between targets while there are too few to estimate it.
constexpr double UnknownSpread = 0.1;

/// Limits on the deviation of all answers, by score. Lateness is a count of few
/// answers, whose upper tail is heavier than that of a normal distribution.
constexpr std::array<double, LatencyScoreCount> LookLimits = {3.2, 4.2};
/// There are several routes, and each can be the slower one by chance. The same
/// holds for the latest answers, and for looks that are repeated.
constexpr std::array<double, LatencyScoreCount> PartLimits = {3.7, 4.7};
constexpr std::array<double, LatencyScoreCount> RepeatedLimits = {4.0, 5.0};
constexpr std::array<double, LatencyScoreCount> RepeatedPartLimits = {4.5, 5.5};
/// Least mean scores that count. New targets alone make a small difference:
/// connections are to be set up, and caches are empty.
constexpr std::array<double, LatencyScoreCount> LeastMeans = {0.3, 0.3};
/// Limit without the target whose answers are slowest, as a fraction.
constexpr double OtherTargetsFraction = 0.65;

/// Quantile function of the normal distribution, to within 0.005 (Abramowitz
/// and Stegun, 26.2.23).
double normalQuantile(double Probability) {
  const double Tail = std::min(Probability, 1 - Probability);
  const double T = std::sqrt(-2 * std::log(std::max(Tail, 1e-9)));
  const double Distance =
      T - (2.515517 + T * (0.802853 + T * 0.010328)) /
              (1 + T * (1.432788 + T * (0.189269 + T * 0.001308)));
  return Probability < 0.5 ? -Distance : Distance;
}

} // namespace

LatencyScores::Scores LatencyScores::scoresOf(double Rank) {
  const double Late = Rank > 1 - LateShare ? 1 : 0;
  return {normalQuantile(Rank),
          (Late - LateShare) / std::sqrt(LateShare * (1 - LateShare))};
}

void LatencyScores::addOld(TargetId Target, double Rank, std::uint32_t Count) {
  const Scores Value = scoresOf(Rank);
  TargetSum &Known = Old[Target];
  Known.Answers += Count;
  for (std::size_t Score = 0; Score < LatencyScoreCount; ++Score)
    Known.Sum[Score] += Count * Value[Score];
  const double Kept = std::min(1.0, MaxOldAnswers / Known.Answers);
  Known.Answers *= Kept;
  for (double &Sum : Known.Sum)
    Sum *= Kept;
}

/// Whether a late answer was in progress together with another one that came
/// just before it, and no timely one between them.
bool LatencyScores::sharesCause(TargetId Target, Duration Elapsed,
                                TimePoint Now) const {
  const auto Last = LastLate.find(Target);
  return Last != LastLate.end() &&
         Now - Last->second <
             std::clamp(Elapsed, ReportTime, MaxSharedCauseTime);
}

void LatencyScores::addNew(TargetId Target, RouteId Route, double Rank,
                           std::uint32_t Count, Duration Elapsed,
                           TimePoint Now) {
  const bool Late = Rank > 1 - LateShare;
  if (Late && sharesCause(Target, Elapsed, Now))
    return;
  if (Late) {
    LastLate[Target] = Now;
    Count = std::min(Count, 1U);
  } else {
    LastLate.erase(Target); // it is not silent
  }
  New.insert(New.end(), Count, {Target, Route, Elapsed, scoresOf(Rank)});
  while (New.size() > MaxNewAnswers)
    New.pop_front();
}

/// Estimates the variance between targets by the method of moments
/// (DerSimonian and Laird: Meta-analysis in clinical trials, 1986).
LatencyScores::Baseline LatencyScores::baseline() const {
  Baseline Result;
  double Squares = 0;
  Scores Total{};
  for (const auto &[Target, Known] : Old) {
    Result.Answers += Known.Answers;
    Squares += Known.Answers * Known.Answers;
    for (std::size_t Score = 0; Score < LatencyScoreCount; ++Score)
      Total[Score] += Known.Sum[Score];
  }
  if (Result.Answers == 0)
    return Result;
  Result.Concentration = Squares / (Result.Answers * Result.Answers);
  const double Freedom = static_cast<double>(Old.size()) - 1;
  for (std::size_t Score = 0; Score < LatencyScoreCount; ++Score) {
    if (Freedom < 1) {
      Result.Spread[Score] = UnknownSpread;
      continue;
    }
    const double Mean = Total[Score] / Result.Answers;
    double Between = 0;
    for (const auto &[Target, Known] : Old) {
      const double Distance = Known.Sum[Score] / Known.Answers - Mean;
      Between += Known.Answers * Distance * Distance;
    }
    // Few targets may be more alike than others are.
    const double Margin = 1 + 2 / Freedom;
    Result.Spread[Score] =
        Margin * std::max(0.0, (Between - Freedom) /
                                   (Result.Answers - Squares / Result.Answers));
  }
  return Result;
}

LatencyScores::TargetSums
LatencyScores::sumsOfNew(std::size_t From, std::optional<RouteId> Route) const {
  TargetSums Sums;
  for (std::size_t Index = From; Index < New.size(); ++Index) {
    const NewAnswer &Answer = New[Index];
    if (Route && Answer.Route != *Route)
      continue;
    TargetSum &Sum = Sums[Answer.Target];
    ++Sum.Answers;
    for (std::size_t Score = 0; Score < LatencyScoreCount; ++Score)
      Sum.Sum[Score] += Answer.Value[Score];
  }
  return Sums;
}

double LatencyScores::deviationOf(const TargetSums &Sums, std::size_t Score,
                                  const Baseline &Old,
                                  std::optional<TargetId> Except) {
  double Answers = 0;
  double Squares = 0;
  double Total = 0;
  for (const auto &[Target, Known] : Sums) {
    if (Target == Except)
      continue;
    Answers += Known.Answers;
    Squares += Known.Answers * Known.Answers;
    Total += Known.Sum[Score];
  }
  if (Answers == 0 || Old.Answers == 0)
    return 0;
  const double Concentration = Squares / (Answers * Answers);
  const double Variance =
      1 / Answers + 1 / Old.Answers +
      Old.Spread[Score] * (Concentration + Old.Concentration);
  return Total / Answers / std::sqrt(Variance);
}

double LatencyScores::meanOf(const TargetSums &Sums, std::size_t Score) {
  double Answers = 0;
  double Total = 0;
  for (const auto &[Target, Known] : Sums) {
    Answers += Known.Answers;
    Total += Known.Sum[Score];
  }
  return Answers == 0 ? 0 : Total / Answers;
}

bool LatencyScores::exceeds(const TargetSums &Sums, const Scores &Limits,
                            const Baseline &Old) {
  for (std::size_t Score = 0; Score < LatencyScoreCount; ++Score) {
    if (meanOf(Sums, Score) < LeastMeans[Score] ||
        deviationOf(Sums, Score, Old) <= Limits[Score])
      continue;
    const bool OthersToo =
        std::all_of(Sums.begin(), Sums.end(), [&](const auto &Entry) {
          return Sums.size() == 1 ||
                 deviationOf(Sums, Score, Old, Entry.first) >
                     OtherTargetsFraction * Limits[Score];
        });
    if (OthersToo)
      return true;
  }
  return false;
}

bool LatencyScores::isSlower(Certainty How) const {
  if (New.size() < MinNewAnswers)
    return false;
  const bool Repeated = How == Certainty::RepeatedLooks;
  const Baseline Reference = baseline();
  if (exceeds(sumsOfNew(), Repeated ? RepeatedLimits : LookLimits, Reference))
    return true;
  const Scores &Limits = Repeated ? RepeatedPartLimits : PartLimits;
  const std::size_t Half = New.size() / 2;
  if (Half >= MinNewAnswers && exceeds(sumsOfNew(Half), Limits, Reference))
    return true;
  std::map<RouteId, double> Routes;
  for (const NewAnswer &Answer : New)
    ++Routes[Answer.Route];
  return std::any_of(Routes.begin(), Routes.end(), [&](const auto &Entry) {
    // Both versions have the same mix of routes.
    Baseline OfRoute = Reference;
    OfRoute.Answers *= Entry.second / static_cast<double>(New.size());
    return Entry.second >= MinRouteAnswers &&
           exceeds(sumsOfNew(0, Entry.first), Limits, OfRoute);
  });
}

std::optional<double> LatencyScores::deviation(LatencyScore Score) const {
  if (New.size() < MinNewAnswers)
    return std::nullopt;
  return deviationOf(sumsOfNew(), static_cast<std::size_t>(Score), baseline());
}

} // namespace marjorambay
