/// Sequential comparison of a new version with the old one, at the same time,
/// by route and load.
///
/// Each answer is a yes or no: did it fail, and was it slow. The yes rate of
/// the old version is bounded from above, in each stratum, over a long and a
/// short window of its answers. For every answer of the new version the test
/// multiplies a likelihood ratio against that bound, and restarts itself as a
/// Shiryaev-Roberts e-detector (Shin, Ramdas, Rinaldo: E-detectors, 2024), so
/// that a fault that begins late is not hidden by a good past. It may be
/// looked at after every batch: for a version whose rate is under the bound,
/// the chance of a trip within N batches is at most N / TripThreshold.
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
  Errors,   ///< failed, cut or overdue answers
  Slowness, ///< time to first token or for each token
};
template <>
inline constexpr std::array NamesOf<FaultKind> =
    std::to_array<std::string_view>({"errors", "slowness"});
inline constexpr std::size_t FaultKindCount = 2;
static_assert(NamesOf<FaultKind>.size() == FaultKindCount);

/// Answers that may be compared with each other.
struct StratumKey {
  RouteId Route{};
  std::uint8_t Load = 0;       ///< fill of the target: 0 low, 1 mid, 2 high
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
};
using Evidence = std::vector<EvidenceCell>;

/// False alarms: at most (batches with new answers) / TripThreshold.
inline constexpr double TripThreshold = 1e6;

/// Runs the test over all batches of one rollout.
class VersionComparison {
public:
  /// Takes one batch in. The old version's answers are learned first, so that
  /// a slowdown of both is not laid on the new one.
  void add(const Evidence &Batch);

  bool tripped() const { return Tripped; }

  /// Whether the evidence is within a factor of 50 of a trip. That is no reason
  /// to take a version back, but one not to send more to it.
  bool suspects() const;
  FaultKind trippedBy() const { return TrippedKind; }

  /// Natural logarithm of the strongest detector, against log(TripThreshold).
  double logStrength() const;

  /// Answers of the new version seen so far.
  std::uint64_t newAnswers() const { return NewTotal; }

private:
  static constexpr std::size_t GridSize = 4;

  /// One restarting detector for each assumed rate of the new version.
  struct Detector {
    std::array<double, GridSize> LogSums{};
    bool Started = false;
  };
  /// Recent answers of the old version, with older ones decayed.
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
  /// Answers of the old version that a group's bound rests on.
  struct Support {
    double Long = 0;
    double Short = 0;
  };
  /// What a detector watches: all answers, one route, or one load.
  enum class Group : std::uint8_t { All, Route, Load };
  struct DetectorKey {
    FaultKind Kind = FaultKind::Errors;
    Group Over = Group::All;
    std::uint64_t Which = 0;
    bool operator<(const DetectorKey &Other) const {
      return std::tie(Kind, Over, Which) <
             std::tie(Other.Kind, Other.Over, Other.Which);
    }
  };
  using LogFactors = std::array<double, GridSize>;

  static bool inGroup(const DetectorKey &Key, const StratumKey &Where);
  Support supportOf(const DetectorKey &Key) const;
  LogFactors factorsOf(const EvidenceCell &Cell, const Support &Old) const;
  void learn(const EvidenceCell &Cell);
  void apply(const std::map<DetectorKey, LogFactors> &Factors);
  void judge(FaultKind Kind);

  std::map<DetectorKey, Detector> Detectors{};
  std::map<std::pair<StratumKey, FaultKind>, Rate> OldRates{};
  std::uint64_t NewTotal = 0;
  std::array<double, FaultKindCount> LogMeans{}; ///< what is judged, by kind
  bool Tripped = false;
  FaultKind TrippedKind = FaultKind::Errors;
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_VERSION_COMPARISON_H
