/// Compares the latencies of two versions by target.
///
/// Each answer has a rank: the share of the old version's answers that were
/// faster. Its shift is the normal score of that rank, and it is late if the
/// rank is in the last tenth. Over answers of a version as fast as the old one
/// both have a known mean and variance. The shift shows a version of which all
/// answers are somewhat slower, lateness one of which only a part is slow.
///
/// Sound targets differ from each other, by their hardware or their load. How
/// much is estimated from the old version's targets, so that a small difference
/// counts where targets are alike.
#ifndef MARJORAMBAY_COORDINATION_LATENCY_SCORES_H
#define MARJORAMBAY_COORDINATION_LATENCY_SCORES_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"
#include "marjorambay/state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace marjorambay {

enum class LatencyScore : std::uint8_t {
  Shift,    ///< normal score of the rank
  Lateness, ///< whether the rank is in the last tenth
};
template <>
inline constexpr std::array NamesOf<LatencyScore> =
    std::to_array<std::string_view>({"shift", "lateness"});
inline constexpr std::size_t LatencyScoreCount = 2;
static_assert(NamesOf<LatencyScore>.size() == LatencyScoreCount);

/// How sure a comparison must be that the new version is slower.
enum class Certainty : std::uint8_t {
  SingleLook,    ///< a version as fast as the old one exceeds it 1 time in 1000
  RepeatedLooks, ///< far more seldom; for looks that are repeated
};

class LatencyScores {
public:
  /// Adds \p Count answers of the old version, whose rank is \p Rank.
  void addOld(TargetId Target, double Rank, std::uint32_t Count);

  /// Adds answers of the new version, which took \p Elapsed and arrived at
  /// \p Now. Late answers of a target that were in progress together count
  /// once: it may have been silent.
  void addNew(TargetId Target, RouteId Route, double Rank, std::uint32_t Count,
              Duration Elapsed, TimePoint Now);

  /// Ranks the answers of the new version again, by \p RankOf(route, elapsed):
  /// the first ones were ranked among few old ones.
  template <typename RankFunction> void rankAgain(RankFunction RankOf) {
    for (NewAnswer &Answer : New)
      Answer.Value = scoresOf(RankOf(Answer.Route, Answer.Elapsed));
  }

  /// Whether the new version is slower: as a whole, on one route, or of late.
  /// One target that is slow for a reason of its own does not suffice.
  bool isSlower(Certainty How) const;

  /// Number of answers of the new version that count.
  std::size_t compared() const { return New.size(); }

  /// Mean of the new version's scores, in standard deviations of such a mean;
  /// nothing if there are too few.
  std::optional<double> deviation(LatencyScore Score) const;

private:
  using Scores = std::array<double, LatencyScoreCount>;

  /// Sum of the scores of a target's answers.
  struct TargetSum {
    double Answers = 0;
    Scores Sum{};
  };
  using TargetSums = std::map<TargetId, TargetSum>;

  struct NewAnswer {
    TargetId Target{};
    RouteId Route{};
    Duration Elapsed{};
    Scores Value{};
  };

  /// What the old version's answers show.
  struct Baseline {
    double Answers = 0;
    double Concentration = 0; ///< sum of the squared shares of the targets
    Scores Spread{};          ///< variance between targets
  };

  static double meanOf(const TargetSums &Sums, std::size_t Score);
  /// Mean score of \p Sums in standard deviations, without \p Except.
  static double deviationOf(const TargetSums &Sums, std::size_t Score,
                            const Baseline &Old,
                            std::optional<TargetId> Except = std::nullopt);
  /// Whether the answers of \p Sums are slower beyond \p Limits.
  static bool exceeds(const TargetSums &Sums, const Scores &Limits,
                      const Baseline &Old);
  bool sharesCause(TargetId Target, Duration Elapsed, TimePoint Now) const;
  static Scores scoresOf(double Rank);
  Baseline baseline() const;
  TargetSums sumsOfNew(std::size_t From = 0,
                       std::optional<RouteId> Route = std::nullopt) const;

  TargetSums Old{};
  std::deque<NewAnswer> New{}; ///< oldest first
  /// When the last late answer of each target arrived.
  std::map<TargetId, TimePoint> LastLate{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_LATENCY_SCORES_H
