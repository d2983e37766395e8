/// Circuit breaker for the versions of one pool, next to the origins that
/// receive their answers: collects evidence, trips a faulty version at once,
/// and sets the share of requests that the version may get.
///
/// A guard needs neither the platform nor a leader to stop a version.
#ifndef MARJORAMBAY_COORDINATION_VERSION_GUARD_H
#define MARJORAMBAY_COORDINATION_VERSION_GUARD_H

#include "marjorambay/coordination/latency_comparison.h"
#include "marjorambay/coordination/pace_comparison.h"
#include "marjorambay/coordination/version_comparison.h"
#include "marjorambay/state/rollout_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace marjorambay {

/// Result of one answer, as observed by the origin.
struct AnswerObserved {
  VersionId Version{};
  StratumKey Stratum{};
  bool Failed = false;          ///< error, interrupted, or far overdue
  double SecondsPerToken = 0;   ///< mean time per token; 0 if unknown
  double FirstTokenSeconds = 0; ///< time to first token; 0 if unknown
};
/// A request for which an answer of the new version failed was failed by the
/// old version as well.
struct FailureShared {
  StratumKey Stratum{};
};
/// A latency, as soon as it is known: before the end of its answer, because the
/// slow answers of a version end last.
struct LatencyObserved {
  VersionId Version{};
  RouteId Route{};
  TargetId Target{};
  LatencyKind Kind = LatencyKind::FirstEvent;
  TimePoint StartedAt{}; ///< start of the time that was measured
  Duration Elapsed{};
};
/// The pace of a stream of a target.
struct PaceObserved {
  VersionId Version{};
  TargetId Target{};
  Duration Pace{};
};
/// A newer view of the pool's rollout, from a leader or a digest.
struct ViewUpdated {
  RolloutView View{};
};
/// Another host found the version faulty.
struct TripReported {
  RolloutId Rollout{};
};
struct GuardTicked {
  WallTime WallClock{};
};
using GuardEvent =
    std::variant<AnswerObserved, FailureShared, LatencyObserved, PaceObserved,
                 ViewUpdated, TripReported, GuardTicked>;

/// Share of requests that the pool's arbiter may send to the new version from
/// now on.
struct ShareChanged {
  VersionId Version{};
  double Share = 0;
};
/// This guard found the version faulty. Final for this rollout; must be spread
/// to all hosts.
struct TripDetected {
  RolloutId Rollout{};
  VersionId Version{};
  FaultKind Kind = FaultKind::Errors;
};
/// Counts since the last report, for the rollout's leader. A leader that has
/// just taken over has none, and gets all counts of the rollout.
struct EvidenceReady {
  RolloutId Rollout{};
  Evidence Cells{};
  LatencyCells Latencies{}; ///< since the last report, also for a new leader
  PaceSamples Paces{};      ///< since the last report, also for a new leader
};
using GuardAction = std::variant<ShareChanged, TripDetected, EvidenceReady>;
using GuardActions = std::vector<GuardAction>;

class VersionGuard {
public:
  GuardActions step(const GuardEvent &Event);

  bool tripped() const { return Tripped; }
  const std::optional<RolloutView> &view() const { return Current; }

  /// Share in force: 0 once tripped, rolled back, or past the deadline without
  /// a reported completion.
  double allowedShare() const { return AllowedShare; }

private:
  /// Recent latencies of the old version in a stratum; the baseline for slow
  /// answers.
  struct Reference {
    std::vector<float> SecondsPerToken{};
    std::vector<float> FirstTokenSeconds{};
    std::size_t NextToken = 0;
    std::size_t NextFirstToken = 0;
    std::size_t NewSamples = 0; ///< answers since the limits were computed
    /// Upper quantile at the last refresh; 0 if none yet.
    double TokenLimit = 0;
    double FirstTokenLimit = 0;
  };

  void observe(const AnswerObserved &Answer);
  void observe(const FailureShared &Failure);
  void observe(const LatencyObserved &Latency);
  void observe(const PaceObserved &Observed);
  void updateView(const RolloutView &View);
  GuardActions tick(WallTime WallClock);
  GuardActions setShare(double Share);
  bool isSlow(const AnswerObserved &Answer, bool IsNew) const;
  void count(const StratumKey &Stratum, FaultKind Kind, bool IsNew, bool Bad);
  void recordReference(const AnswerObserved &Answer);
  void refreshLimits();

  std::optional<RolloutView> Current{};
  VersionComparison Comparison{};
  bool Tripped = false;
  bool TripPublished = false;
  double AllowedShare = 0;
  using Counts = std::map<std::pair<StratumKey, FaultKind>, EvidenceCell>;
  Counts PendingCounts{};  ///< since the last report
  Counts ReportedCounts{}; ///< already reported, for this rollout
  using LatencyKey = std::tuple<RouteId, LatencyKind, std::uint8_t, TargetId>;
  std::map<LatencyKey, LatencyCell> PendingLatencies{};
  PaceSamples PendingPaces{};
  /// Until when the latest counted latency of a new target was measured.
  std::map<std::pair<TargetId, LatencyKind>, TimePoint> CountedUntil{};
  bool LeaderChanged = false; ///< the new leader needs all counts
  std::map<StratumKey, Reference> References{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_VERSION_GUARD_H
