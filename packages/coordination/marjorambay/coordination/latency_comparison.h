/// Sequential test of whether a new version is slower than the old one, on the
/// latencies that all hosts have seen.
///
/// Hosts count latencies on one logarithmic scale, so that their counts add up
/// to one distribution of the old version for each route. A latency of the new
/// version, divided by a tolerance, has a rank in it: the share of old answers
/// that were faster. Ranks of a version as fast as the old one are at most
/// uniform, whatever the mix of prompts and hardware that both versions have.
/// The test bets on high ranks with densities K * Rank^(K-1), and restarts as a
/// Shiryaev-Roberts e-detector, as VersionComparison does.
#ifndef MARJORAMBAY_COORDINATION_LATENCY_COMPARISON_H
#define MARJORAMBAY_COORDINATION_LATENCY_COMPARISON_H

#include "marjorambay/coordination/latency_scores.h"
#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambay {

enum class LatencyKind : std::uint8_t {
  FirstEvent, ///< from dispatch to the first event, or to the whole response
  PerEvent,   ///< mean time between the first events of a stream
};
template <>
inline constexpr std::array NamesOf<LatencyKind> =
    std::to_array<std::string_view>({"first_event", "per_event"});
inline constexpr std::size_t LatencyKindCount = 2;
static_assert(NamesOf<LatencyKind>.size() == LatencyKindCount);

/// Steps of a sixth of an octave, from 50 microseconds on.
inline constexpr std::uint8_t LatencyBinCount = 128;
std::uint8_t latencyBin(double Seconds);

/// Counts of one route, kind, bin and target over one batch.
struct LatencyCell {
  RouteId Route{};
  LatencyKind Kind = LatencyKind::FirstEvent;
  std::uint8_t Bin = 0; ///< below LatencyBinCount
  std::uint32_t OldAnswers = 0;
  std::uint32_t NewAnswers = 0;
  TargetId Target{}; ///< that answered; 0 from hosts of earlier builds
};
using LatencyCells = std::vector<LatencyCell>;

class LatencyComparison {
public:
  /// Adds one batch, which arrived at \p Now, the old version's answers first.
  void add(const LatencyCells &Batch, TimePoint Now);

  /// Whether the version is slower beyond doubt, however often this is asked:
  /// for a version as fast as the old one, the probability of a trip within N
  /// batches is at most N / 1e5.
  bool tripped() const { return Tripped; }

  /// Whether all answers of the new version so far were slower, beyond what
  /// sound targets differ; see LatencyScores.
  bool isSlower(Certainty How) const;

  /// Whether the evidence is within a factor of 50 of a trip.
  bool isSuspicious() const;

  /// Answers of the new version whose first event was compared.
  std::uint64_t compared() const { return ComparedAnswers; }

  /// Mean rank of the latest answers of the new version; 0 if there are none.
  double meanRank(LatencyKind Kind) const;

  const LatencyScores &scores(LatencyKind Kind) const {
    return Scores[static_cast<std::size_t>(Kind)];
  }

private:
  static constexpr std::size_t GridSize = 2;

  /// Distribution of recent latencies of the old version.
  struct Histogram {
    std::array<double, LatencyBinCount> Counts{};
    double Total = 0;
    void add(std::uint8_t Bin, double Count);
    double rank(std::uint8_t Bin) const;
  };
  /// Route, or none for all routes together.
  using Scope = std::pair<LatencyKind, std::optional<RouteId>>;
  using LogSums = std::array<double, GridSize>;

  /// Rank of a latency that is lower by \p Tolerance bins than the cell's.
  std::optional<double> rankOf(const LatencyCell &Cell,
                               std::uint8_t Tolerance) const;
  void score(const LatencyCells &Batch, TimePoint Now);
  void observe(const LatencyCell &Cell, std::map<Scope, LogSums> &Factors);
  void apply(const std::map<Scope, LogSums> &Factors);
  void evaluate();

  std::map<Scope, Histogram> Old{};
  std::map<Scope, LogSums> Detectors{};
  std::map<Scope, std::deque<double>> RecentRanks{};
  std::array<LatencyScores, LatencyKindCount> Scores{}; ///< by LatencyKind
  std::uint64_t ComparedAnswers = 0;
  double LogStatistic = -1e300; ///< of the whole test
  bool Tripped = false;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_LATENCY_COMPARISON_H
