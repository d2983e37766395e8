/// Sequential test that compares a new version with the old one over the same
/// period, by route and load.
///
/// Each answer gives two binary observations: whether it failed, and whether it
/// was slow. The rate of bad answers of the old version is bounded from above,
/// in each stratum, over a long and a short window of its answers. For every
/// answer of the new version the test multiplies a likelihood ratio against
/// that bound. It restarts as a Shiryaev-Roberts e-detector (Shin, Ramdas,
/// Rinaldo: E-detectors, 2024), so that good earlier answers do not hide a
/// fault that begins late. It may be evaluated after every batch: for a version
/// whose rate is below the bound, the probability of a trip within N batches is
/// at most N / TripThreshold.
#ifndef MARJORAMBAY_COORDINATION_VERSION_COMPARISON_H
#define MARJORAMBAY_COORDINATION_VERSION_COMPARISON_H

#include "marjorambay/state/enum_names.h"
#include "marjorambay/state/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace marjorambay {

enum class FaultKind : std::uint8_t {
  Errors,   ///< failed, interrupted or overdue answers
  Slowness, ///< high time to first token or time per token
};
template <>
inline constexpr std::array NamesOf<FaultKind> =
    std::to_array<std::string_view>({"errors", "slowness"});
inline constexpr std::size_t FaultKindCount = 2;
static_assert(NamesOf<FaultKind>.size() == FaultKindCount);

/// Stratum of answers that are comparable with each other.
struct StratumKey {
  RouteId Route{};
  std::uint8_t Load = 0;       ///< load of the target: 0 low, 1 medium, 2 high
  std::uint8_t SpeedClass = 0; ///< hardware generation of the target
  bool operator<(const StratumKey &Other) const {
    return std::tie(Route, Load, SpeedClass) <
           std::tie(Other.Route, Other.Load, Other.SpeedClass);
  }
};

/// Counts of one stratum and fault kind over one batch.
struct EvidenceCell {
  StratumKey Stratum{};
  FaultKind Kind = FaultKind::Errors;
  std::uint32_t OldAnswers = 0;
  std::uint32_t OldBad = 0;
  std::uint32_t NewAnswers = 0;
  std::uint32_t NewBad = 0;
  /// Bad answers of the new version to requests that the old one failed too.
  std::uint32_t SharedBad = 0;
};
using Evidence = std::vector<EvidenceCell>;

/// Bound on the false alarm probability: (batches with new answers) /
/// TripThreshold.
inline constexpr double TripThreshold = 1e6;

/// Runs the sequential test over all batches of one rollout.
class VersionComparison {
public:
  /// Adds one batch. The old version's answers are counted first, so that a
  /// slowdown of both versions is not attributed to the new one.
  void add(const Evidence &Batch);

  bool tripped() const { return Tripped; }

  /// Whether the evidence is within a factor of 50 of a trip. This does not
  /// justify a rollback, but the version should not get a larger share.
  bool isSuspicious() const;
  FaultKind trippedBy() const { return TrippedKind; }

  /// Natural logarithm of the strongest detector, against log(TripThreshold).
  double logStrength() const;

  /// Answers of the new version seen so far.
  std::uint64_t newAnswers() const { return NewTotal; }

private:
  static constexpr std::size_t GridSize = 4;

  /// Restarting detectors, one for each assumed rate of the new version.
  struct Detector {
    std::array<double, GridSize> LogSums{};
    bool Started = false;
  };
  /// Recent answers of the old version; older ones decay.
  struct Window {
    double Bad = 0;
    double All = 0;
    void add(double MoreBad, double MoreAll, double Size);
    double upperBound(double Prior, double Deviations, double Answers) const;
  };
  struct Rate {
    Window Long{};
    Window Short{};
    double NewAnswers = 0; ///< of the new version, in this stratum
  };
  /// Effective number of old answers behind a group's bound, by window.
  struct Support {
    double Long = 0;
    double Short = 0;
  };
  /// Scope of a detector: all answers, one route, or one load level.
  enum class Group : std::uint8_t { All, Route, Load };
  struct DetectorKey {
    FaultKind Kind = FaultKind::Errors;
    Group Scope = Group::All;
    std::uint64_t GroupId = 0;
    bool operator<(const DetectorKey &Other) const {
      return std::tie(Kind, Scope, GroupId) <
             std::tie(Other.Kind, Other.Scope, Other.GroupId);
    }
  };
  using LogFactors = std::array<double, GridSize>;

  static bool inGroup(const DetectorKey &Key, const StratumKey &Stratum);
  Support supportOf(const DetectorKey &Key) const;
  LogFactors factorsOf(const EvidenceCell &Cell, const Support &Old) const;
  void updateOldRates(const EvidenceCell &Cell);
  void apply(const std::map<DetectorKey, LogFactors> &Factors);
  void evaluate(FaultKind Kind);

  std::map<DetectorKey, Detector> Detectors{};
  std::map<std::pair<StratumKey, FaultKind>, Rate> OldRates{};
  std::uint64_t NewTotal = 0;
  /// Test statistic, by fault kind.
  std::array<double, FaultKindCount> LogStatistics{};
  bool Tripped = false;
  FaultKind TrippedKind = FaultKind::Errors;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_VERSION_COMPARISON_H
