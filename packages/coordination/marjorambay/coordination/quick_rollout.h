/// Decides on a version that must be completed or rolled back within seconds.
///
/// A bad version may get at most CanaryShare of all requests until the
/// deadline, plus CanaryExtra. A constant canary share uses a part of this
/// budget. Another part is reserved for the switch at the end, in which all
/// new requests go to the version, so that few requests still run on the old
/// one when the rollout completes.
///
/// [SECTION] Index
///   1. QuickRolloutSettings  the bounds
///   2. RollbackCause         why a version was rolled back
///   3. QuickRollout          one pool's version
#ifndef MARJORAMBAY_COORDINATION_QUICK_ROLLOUT_H
#define MARJORAMBAY_COORDINATION_QUICK_ROLLOUT_H

#include "marjorambay/coordination/fleet_heartbeat.h"
#include "marjorambay/coordination/latency_comparison.h"
#include "marjorambay/coordination/pace_comparison.h"
#include "marjorambay/coordination/version_comparison.h"

#include <deque>
#include <optional>

namespace marjorambay {

struct QuickRolloutSettings {
  double CanaryShare = 0.1;     ///< fraction of all requests until the deadline
  double CanaryExtra = 50;      ///< requests allowed beyond CanaryShare
  double CanaryFraction = 0.4;  ///< of this budget, used as a canary
  double SwitchFraction = 0.35; ///< of this budget, used by the switch
  /// Answers that suffice to compare the versions. A smaller budget is used up
  /// to MaxCanaryFraction as a canary, and for less of the switch.
  double SufficientAnswers = 75;
  double MaxCanaryFraction = 0.65;
  double MaxUsedFraction = 0.9; ///< of the budget, by canary and switch
  Duration MaxSwitchTime = milliseconds(1200);
  /// Reserved for the write to the platform.
  Duration WriteMargin = milliseconds(600);
  /// Answers of the new version required to switch.
  std::uint32_t MinNewAnswers = 6;
  /// Those of which the latency was compared with the old version.
  std::uint32_t MinComparedAnswers = 4;
  /// A version that fails more than this share of its answers is not switched
  /// to, and rolled back at MaxFailures, whatever the old version does: while
  /// that one fails as well, the comparison shows nothing. Requests that fail
  /// with either version don't count.
  double MaxFailureShare = 0.25;
  std::uint32_t MaxFailures = 40;
  /// Latest answers of the new version that count for the switch.
  std::uint32_t RecentAnswers = 24;
  /// Streams of the new version whose pace must be known for a rollback because
  /// of it, and for one instead of the switch.
  std::size_t MinPacesToTrip = 16;
  std::size_t MinPacesToSwitch = 12;
};

enum class RollbackCause : std::uint8_t {
  None,         ///< it was not, or another host decided it
  Errors,       ///< fails more often than the old version
  FailureShare, ///< fails too often, whatever the old version does
  Latency,      ///< its answers take longer
  Pace,         ///< its streams are slower
  TooFew,       ///< too few answers to tell
  NoTarget,     ///< none of its targets may get requests
};
template <>
inline constexpr std::array NamesOf<RollbackCause> =
    std::to_array<std::string_view>({"none", "errors", "failure_share",
                                     "latency", "pace", "too_few",
                                     "no_target"});
static_assert(NamesOf<RollbackCause>.size() == 7);

class QuickRollout {
public:
  QuickRollout(PoolId Pool, VersionId To, Duration Window, TimePoint StartedAt,
               QuickRolloutSettings InitialSettings = {})
      : Settings(InitialSettings), Pool(Pool), To(To), Window(Window),
        StartedAt(StartedAt) {}

  /// Adds the evidence of any host, which arrived at \p Now.
  void add(const Evidence &Cells, const LatencyCells &Latencies,
           const PaceSamples &Paces, TimePoint Now);
  /// Merges a decision of another host: a later stage wins.
  void merge(const VersionDecision &Order);

  /// Whether some target of the new version may get requests. While none may,
  /// as when all are in evacuated zones, the version is not switched to.
  void setReachable(bool Given) { Reachable = Given; }

  /// Advances the stage and returns the decision that applies from now on.
  VersionDecision step(TimePoint Now);

  VersionId version() const { return To; }
  VersionStage stage() const { return Stage; }
  RollbackCause cause() const { return Cause; }
  TimePoint startedAt() const { return StartedAt; }
  std::uint64_t newAnswers() const { return NewAnswers; }
  std::uint64_t newFailures() const { return NewFailures; }
  /// Of those, the ones to requests that the old version failed too.
  std::uint64_t sharedFailures() const { return SharedFailures; }
  const LatencyComparison &latencies() const { return Latency; }
  const PaceComparison &paces() const { return Pace; }

private:
  struct RecentBatch {
    std::int64_t Answers = 0;
    std::int64_t Failures = 0; ///< that the old version does not share
  };

  /// Why to roll back before the window ends.
  RollbackCause causeToTrip() const;
  /// Why not to send all requests to the new version.
  RollbackCause causeAgainstSwitch() const;
  /// Why not to stop the old version, which can't be taken back.
  RollbackCause causeAgainstCompletion() const;
  void rollBackFor(RollbackCause Why);
  bool failsTooOften() const;
  bool failedTooOftenOfLate() const;
  void recordBatch(const RecentBatch &Batch);
  double budget(TimePoint Now) const;
  double canaryFraction(TimePoint Now) const;
  double switchFraction(TimePoint Now) const;
  double requestRate(TimePoint Now) const;
  double canaryShare(TimePoint Now) const;

  QuickRolloutSettings Settings;
  PoolId Pool{};
  VersionId To{};
  Duration Window{};
  TimePoint StartedAt{};
  VersionComparison Comparison{};
  LatencyComparison Latency{};
  PaceComparison Pace{};
  bool Reachable = true;
  VersionStage Stage = VersionStage::Canary;
  RollbackCause Cause = RollbackCause::None;
  std::uint64_t Answers = 0; ///< of both versions
  std::uint64_t NewAnswers = 0;
  std::uint64_t NewFailures = 0;
  std::uint64_t SharedFailures = 0;
  /// Batches with the latest RecentAnswers.
  std::deque<RecentBatch> Recent{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_COORDINATION_QUICK_ROLLOUT_H
